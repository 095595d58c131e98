// Package meter names every metric of an entry instance on a platform with a feed, keeps
// their values in a go-metrics registry, and bounds their number whatever names arrive.
package meter
