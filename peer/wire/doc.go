// Package wire contains the messages and Twirp services of the protocol between entry instances, generated
// from the .proto files in this folder. Run scripts/generate after changing one of them. Instances of
// different versions run side by side, so field numbers and types must not change.
package wire
