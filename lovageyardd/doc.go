// Command lovageyardd is one entry instance: it answers callers' look-ups and requests,
// exchanges state with its peers, serves operators and runs the control loop.
package main
