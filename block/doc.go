// Package block maps clients to blocks, and blocks to home failure domains and buckets.
package block
