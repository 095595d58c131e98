// Package class decodes and validates the request classes that operators define, and finds the class of a
// request.
//
// A class groups requests of one service by host, path prefix and method. It says whether they are idempotent,
// and sets their deadline, their importance and the target for moving work between sites.
package class
