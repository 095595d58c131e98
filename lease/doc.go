// Package lease keeps a lease with an epoch in one row of the platform's table service.
// It decides by given times only; every write that the lease protects must also be
// conditional on the lease's row, so that a holder that wakes late can do no harm.
package lease
