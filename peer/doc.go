// Package peer carries the exchange between entry instances over twirp, and turns the
// wire's messages into the types that the rest of the system uses.
package peer
