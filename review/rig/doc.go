// Command rig plays one case of the review: it starts entry instances with the command of the deploy file, and
// stand-ins of the platform's store, servers and clients, and checks one rule by what these see. It must be run in
// the repository's root. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main
