// Package lease implements a lease with a fencing epoch, stored in one row of the platform's
// table service.
//
// Expiry is decided by each instance's own clock; clocks of different instances are never
// compared. A holder that was suspended may still assume that it holds an expired lease.
// Therefore every write under the lease must be conditional on the version of the lease's
// row, which Lease.Condition returns.
package lease
