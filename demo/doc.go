// Command demo runs a whole deployment on one machine, with stand-ins for the platform
// and the backend servers: it sends load, drains a site and stops an entry instance
// while the load runs, and prints an account.
package main
