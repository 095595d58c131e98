// Package route selects a site for each request from an immutable snapshot of the control state.
//
// A client's block determines its home failure domain and its bucket, and the class's placement
// determines the site of the bucket. If that site can't accept requests, a request may go to another
// site as far as a grant and the failover limiter allow.
package route
