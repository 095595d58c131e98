// Package transfer bounds HTTP exchanges by their progress instead of their length, so that a
// large body on a slow link arrives, and a silent peer is given up as soon as before.
package transfer
