// Command lovageyard-load is an open-loop load generator. It sends requests at given
// rates through the entry instances that look-ups name, whether or not earlier requests
// have been answered, and measures latencies from the time at which each request was
// due. It reports outcomes, latency percentiles and the sites of the answers by class.
package main
