package inbox

import (
	"context"
	"sync"
)

// Message is a change of the state that the owner's goroutine applies.
type Message[S any] interface {
	// Apply changes the state. It runs in the owner's goroutine.
	Apply(state S)
}

// Inbox is the mailbox of the owner of a state of type S. Its methods are safe for concurrent use, except
// those that only the owner may call.
type Inbox[S any] struct {
	messages chan Message[S]
	context  context.Context
	cancel   context.CancelFunc
	owner    sync.WaitGroup
	calls    sync.WaitGroup
	// runningCalls holds the names of the calls that are running; it belongs to the owner.
	runningCalls map[string]bool
}

// New returns an inbox with a buffer for size messages; Post blocks while the buffer is full.
func New[S any](size int) *Inbox[S] {
	b := &Inbox[S]{messages: make(chan Message[S], size), runningCalls: make(map[string]bool)}
	b.context, b.cancel = context.WithCancel(context.Background())
	return b
}

// Start runs the owner's goroutine. The function has to apply Messages until Context is cancelled; Close
// waits for it to return.
func (b *Inbox[S]) Start(run func()) {
	b.owner.Go(run)
}

// Messages returns the channel of posted messages, in the order in which they were posted.
func (b *Inbox[S]) Messages() <-chan Message[S] {
	return b.messages
}

// Context returns a context that is cancelled when the inbox is closed.
func (b *Inbox[S]) Context() context.Context {
	return b.context
}

// Post sends a message to the owner. It blocks while the buffer is full, and returns false if the inbox
// is closed first. A message that is posted while the inbox is being closed may be lost although Post
// returned true.
func (b *Inbox[S]) Post(m Message[S]) bool {
	select {
	case b.messages <- m:
		return true
	case <-b.context.Done():
		return false
	}
}

// Go runs f in a new goroutine; Close waits for it to return.
func (b *Inbox[S]) Go(f func()) {
	b.calls.Go(f)
}

// Call runs f in a new goroutine, and posts its result as a message unless it is nil. It does nothing if a
// call with the same name is running. Only the owner may call it.
func (b *Inbox[S]) Call(name string, f func(ctx context.Context) Message[S]) {
	if b.runningCalls[name] {
		return
	}
	b.runningCalls[name] = true
	b.Go(func() {
		b.Post(callResult[S]{inbox: b, name: name, result: f(b.context)})
	})
}

// IsCalling reports whether a call with a name is running. Only the owner may call it.
func (b *Inbox[S]) IsCalling(name string) bool {
	return b.runningCalls[name]
}

// IsIdle reports whether no call is running and no message is buffered. Only the owner may call it.
func (b *Inbox[S]) IsIdle() bool {
	return len(b.runningCalls) == 0 && len(b.messages) == 0
}

// Close cancels the context and waits for the owner and all calls to return.
func (b *Inbox[S]) Close() {
	b.cancel()
	b.owner.Wait()
	b.calls.Wait()
}

// callResult is the message that a call posts when it returns.
type callResult[S any] struct {
	inbox  *Inbox[S]
	name   string
	result Message[S]
}

// Apply marks the call as ended and applies its result.
func (m callResult[S]) Apply(state S) {
	delete(m.inbox.runningCalls, m.name)
	if m.result != nil {
		m.result.Apply(state)
	}
}
