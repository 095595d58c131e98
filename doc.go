// Package lovageyard holds the plain data, the ports and the verdict type that
// every part of the traffic steering system shares.
//
// Implementations of the ports live in the packages below this one. They import
// this package; this package imports none of them.
package lovageyard
