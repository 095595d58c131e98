// Package block maps clients to blocks of addresses, and blocks to home failure domains and buckets.
//
// A table of prefixes gives the blocks with a home. Other clients are in a block of a fixed prefix length
// without a home. A hash of the block's prefix selects its bucket.
package block
