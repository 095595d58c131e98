// Package quarantine detects requests that crash the backend servers which run them, and distinguishes them
// from requests that were only in flight on such a server.
//
// The case it handles is one request that is retried again and again, at any entry instance and under a new
// request ID each time. Each server that starts to run it crashes, and all other requests in flight there are
// lost. Requests are identified by a fingerprint of their content. A request that was in flight at a crash is
// a suspect, and is sent to other servers than the requests it crashed with. After several crashes it is
// quarantined, that is, refused without being sent to a server, until the crashes are too old to count.
//
// Table holds the state: it takes observations together with their times, does no I/O, and merges the reports
// of other instances. Monitor adds what a running instance needs: probes of servers that closed connections,
// log lines, metrics, and a notification when there is something to report.
package quarantine
