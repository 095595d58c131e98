// Command soak runs entry instances as separate processes against stand-ins of the platform
// and of backend servers, injects faults from outside them, and checks while it runs what
// callers and backend servers may rely on. A run is made again from its seed.
package main
