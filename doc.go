// Package lovageyard defines the data types, interfaces and errors that every part of the
// traffic steering system shares.
//
// The system routes callers' requests to backend servers. Entry instances accept requests,
// operators configure request classes, accounts and routes, and planners assign each class's
// traffic to sites. The platform, an external system, stores the configuration and lists the
// instances and servers. Implementations of the interfaces live in the packages below this
// one; they import this package, and it imports none of them.
package lovageyard
