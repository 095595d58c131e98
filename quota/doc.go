// Package quota keeps the requests of client accounts within limits that hold over all instances together,
// however the load of an account moves between them.
//
// The load that it answers: accounts that stay far below their limits nearly always, with a few requests a
// second spread over many instances, and now and then one that sends several times its usual.
//
// Each account has an owner among the instances, which has the account's bucket of tokens. While the bucket
// is well filled, all instances admit requests at once and report them a moment later; a request waits for
// nothing. Once it is not, they ask for tokens before they admit any. An owner hands out only the part of a
// limit that belongs to the instances that report to it, so that instances which are cut apart, or name
// different owners for a while, do not exceed the limit together. Nothing is kept elsewhere: an owner that
// takes over begins with an empty bucket.
package quota
