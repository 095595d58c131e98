package entry

import (
	"context"
	"net/http"

	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/link"
)

// reserveExpected reserves memory for the response, by the lengths of the route's recent ones, if these are large.
// If there is no room, it refuses the request and returns false.
func (x *exchange) reserveExpected() bool {
	if x.handler.Memory == nil || x.request.Method == http.MethodHead {
		return true
	}
	expected := x.handler.lengths.Expected(x.route.Name)
	if expected == 0 {
		return true
	}
	bytes := int64(len(x.body)) + expected
	if x.reserve(bytes) {
		return true
	}
	x.refuseForMemory(bytes)
	return false
}

// responseReserve returns the function that reserves memory for the response to an attempt, or nil if there is no
// budget. As the request has run, it waits until there is room; the server's connection is not read meanwhile.
func (x *exchange) responseReserve(ctx context.Context, a *attempt) link.Reserve {
	if x.handler.Memory == nil {
		return nil
	}
	return func(bytes int64) error {
		if x.memory == nil && bytes <= footprint.SmallBytes {
			return nil
		}
		now := x.handler.Timer.Now()
		if x.memory == nil {
			x.memory = x.handler.Memory.Reserve(0, now)
		}
		total := int64(len(x.body)) + x.retainedBytes() + counted(bytes)
		if x.memory.Resize(total, now) {
			return nil
		}
		a.waitedForMemory = true
		return x.memory.Await(ctx, total, now)
	}
}

// counted returns the bytes of a response that are reserved. Small responses are not: together with a small request
// they would count as a large one.
func counted(bytes int64) int64 {
	if bytes <= footprint.SmallBytes {
		return 0
	}
	return bytes
}

// retainedBytes returns the length of an earlier attempt's answer that is kept.
func (x *exchange) retainedBytes() int64 {
	if x.failedAttempt == nil {
		return 0
	}
	return counted(int64(len(x.failedAttempt.answer.Body)))
}

// assignTo counts the request's bytes as in flight to the server of a choice, and reports whether the server's share
// of the budget allows that. If not, it cancels the choice. The request does not wait for the share, as it would
// hold its memory meanwhile; the share is used up only if the server reads or answers slowly.
func (x *exchange) assignTo(choice dispatch.Choice) bool {
	if x.memory.Assign(choice.Server.Name) {
		return true
	}
	x.handler.Dispatch.Cancel(choice)
	return false
}

// releaseBody drops the request's body, which is not sent again, and keeps the memory of an answer only.
func (x *exchange) releaseBody(answer []byte) {
	if x.memory == nil {
		return
	}
	x.body = nil
	x.memory.Resize(counted(int64(len(answer))), x.handler.Timer.Now())
}

// recordLength records the length of a successful response to the route.
func (x *exchange) recordLength(a *attempt) {
	if x.handler.Memory != nil && a.succeeded() && a.answer.Status < http.StatusMultipleChoices && x.request.Method != http.MethodHead {
		x.handler.lengths.Record(x.route.Name, int64(len(a.answer.Body)))
	}
}
