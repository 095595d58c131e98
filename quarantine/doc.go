// Package quarantine tells apart requests that end the backend servers which run them from
// requests that were at such a server by chance.
package quarantine
