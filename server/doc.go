// Package server shares the slots of backend servers among requests: it chooses a
// server for each, keeps a bounded queue in the order of deadlines, refuses what can't
// be answered in time, and bounds retries. It takes time and randomness as input.
package server
