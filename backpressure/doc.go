// Package backpressure keeps what backend servers ask of the instances that send to them: how many requests a
// second they take, that they leave, and that they want
// nothing for a while. It decides without I/O whether a server may get a request now.
//
// What a server asks is known from its answers only, so that it has an age: a server that gets no requests
// from an instance can't tell it that it takes more again. A limit holds over all instances together. It is divided
// among a few of them, without a word between them; the others try the server at long intervals.
package backpressure
