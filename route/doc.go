// Package route holds the immutable snapshot from which traffic is routed, and the
// choice of a site for each request.
package route
