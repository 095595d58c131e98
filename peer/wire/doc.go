// Package wire holds the messages that entry instances exchange, as generated from
// wire.proto. To generate it anew, run scripts/generate.
package wire
