// Command lovageyard-load sends an open-loop load of look-ups and requests through
// entry instances, and tells what came of it.
package main
