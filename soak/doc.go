// Command soak is a fault injection test of entry instances. It runs them as separate
// processes against a fake store and fake backend servers, sends requests as callers do,
// and injects faults from outside: it pauses and kills instances, crashes servers,
// disturbs network links through proxies and makes the store fail. Meanwhile a checker
// verifies the guarantees to callers and backend servers: that no charge runs twice,
// that a request refused as not run never runs, that drained or leaving servers get no
// work, and that limits on retries and on cold servers hold. The plan of the faults
// depends only on the seed, so that a failed run can be repeated.
package main
