// Command standin runs small stand-ins for the platform and for backend servers, with
// faults that are switched on over HTTP. It is scaffolding for trials and tests.
package main
