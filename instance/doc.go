// Package instance keeps the entry instances that one instance knows, merges what
// peers say with the platform's lagging list, and ranks instances for look-ups.
package instance
