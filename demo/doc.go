// Command demo runs a whole deployment on one machine, with test doubles of the platform
// and of the backend servers. It generates load, drains a site and stops an entry
// instance under load, and prints a summary; it fails if a request was cut. The
// deployment fleet instead measures how fast a configuration change is in force at 112
// entry instances, and what these use while idle.
package main
