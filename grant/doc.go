// Package grant divides the spare capacity of sites among entry instances, so that
// each may send work elsewhere after a failure without asking, and no site is overloaded.
package grant
