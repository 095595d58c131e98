// Command rig runs one case of the review: see the claim of each case.
package main
