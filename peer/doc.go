// Package peer calls other entry instances over Twirp and converts between the messages of package wire
// and the types that the rest of the system uses.
//
// Rows are compressed for the wire: large values as deltas from the version that the receiver has, and
// tables with many small rows as a whole. The sender uses the newest encoding that the receiver reads.
package peer
