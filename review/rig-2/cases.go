package main

// cases holds the cases by name. A case returns the ways in which its rule was broken.
var cases = map[string]func(d *deployment) []string{}
