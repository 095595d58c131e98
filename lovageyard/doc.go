// Command lovageyard is the operators' command line.
//
// It exits with 0 when the order took effect, 1 when it failed or may have failed, 2
// when the arguments or a class file are wrong, 3 when another operator's write won,
// and 4 when what was asked for does not exist.
package main
