// Package grant divides the spare capacity of sites among entry instances. Each instance gets a
// fixed rate per service and site in advance, so that after a failure it may send requests
// elsewhere without coordination and no site is overloaded.
package grant
