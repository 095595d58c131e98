// Command capacity measures what the parts of an entry instance cost at several sizes,
// fits a line through each cost, and works out what each role needs at the target's
// size. It writes the tables of docs/CAPACITY.md.
package main
