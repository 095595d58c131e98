// Package integration tests whole deployments end to end. It builds the programs once with the race
// detector, starts them as processes, and observes them only through their network interfaces, their
// logs and their exit statuses. The platform and the backend servers are replaced by standin processes
// or by servers in the test process.
package integration
