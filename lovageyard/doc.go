// Command lovageyard is the operators' command-line client.
//
// Most commands call the operator API of an entry instance: they read and write
// classes, drain and restore sites, list moves and instances, and settle charges.
// The commands trace, incident and report work offline on the daemon's JSON logs.
//
// The exit status is 0 if the command succeeded, 1 if it failed or its result is
// unknown, 2 if an argument or a class file is invalid, 3 if a concurrent write of
// another operator won, and 4 if the named object does not exist.
package main
