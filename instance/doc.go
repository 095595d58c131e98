// Package instance tracks the entry instances that one instance knows and ranks them for look-ups, in
// which clients ask for the addresses of instances.
//
// A Table merges heartbeats, received directly or by gossip, with the platform's list, which lags,
// and suspects members whose heartbeats stop. A Directory ranks the live instances for a block
// of client addresses by rendezvous hash, so that the loss of an instance affects only its own blocks.
package instance
