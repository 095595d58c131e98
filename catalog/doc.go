// Package catalog caches the platform's tables at an entry instance: the configuration,
// the backend servers, the drained failure domains and the rows of entry instances.
//
// A State applies rows from the platform and from peers in any order. The highest version
// of each row wins, so the state never reverts to an older version. A Snapshot is an
// immutable view of the state for request handling.
package catalog
