// Package fleet runs the control loop of an entry instance on a platform with a feed: it
// follows the platform's tables, exchanges liveness and rows with other instances, and
// publishes the view that traffic works from.
package fleet
