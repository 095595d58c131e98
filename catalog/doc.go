// Package catalog holds what an entry instance knows from the platform: the configuration,
// the backend servers, the drained failure domains and the rows of entry instances. It
// never goes back to an older version, whichever source a row comes from.
package catalog
