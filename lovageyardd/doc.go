// Command lovageyardd runs an entry instance, which routes callers' requests to backend servers.
//
// It has three subcommands. Serve, the default, routes by operators' request classes and
// placement plans, and serves the operators' interface. Edge runs on a platform that stores
// routes, servers and drains and sends their changes. Metrics prints the reference page of
// edge's metrics. Serve and edge exchange state with their peers and shut down gracefully on SIGTERM.
package main
