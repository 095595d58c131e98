// Package server balances the requests for a service of one site over its backend servers. A Pool
// limits the requests in flight to the slots of each server, keeps a bounded queue in deadline
// order, and refuses requests that can't be answered before their deadline; a RetryBudget limits
// retries. The package performs no I/O; time and random seeds are passed in.
package server
