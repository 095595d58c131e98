// Package wire contains the messages and services of the protocol between entry instances, generated
// from the .proto files in this folder. Run scripts/generate after changing one of them.
package wire
