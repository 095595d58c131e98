package inbox

import (
	"context"
	"sync"
)

// Message changes the state that an owner's goroutine holds.
type Message[S any] interface {
	// Apply runs in the owner's goroutine.
	Apply(state S)
}

// Inbox is the way to the owner of a state.
type Inbox[S any] struct {
	messages chan Message[S]
	context  context.Context
	cancel   context.CancelFunc
	owner    sync.WaitGroup
	calls    sync.WaitGroup
	// calling holds the names of the calls under way; it belongs to the owner.
	calling map[string]bool
}

// New returns an inbox that holds so many messages before Post waits.
func New[S any](size int) *Inbox[S] {
	b := &Inbox[S]{messages: make(chan Message[S], size), calling: make(map[string]bool)}
	b.context, b.cancel = context.WithCancel(context.Background())
	return b
}

// Start starts the owner's goroutine, which reads Messages until the context ends.
func (b *Inbox[S]) Start(run func()) {
	b.owner.Go(run)
}

// Messages returns the messages in the order in which they were posted.
func (b *Inbox[S]) Messages() <-chan Message[S] {
	return b.messages
}

// Context ends when the inbox is closed.
func (b *Inbox[S]) Context() context.Context {
	return b.context
}

// Post hands a message to the owner; it returns false once the inbox is closed.
func (b *Inbox[S]) Post(m Message[S]) bool {
	select {
	case b.messages <- m:
		return true
	case <-b.context.Done():
		return false
	}
}

// Go runs f beside the owner; Close waits for its end.
func (b *Inbox[S]) Go(f func()) {
	b.calls.Go(f)
}

// Call runs f beside the owner and posts its result, unless that is nil or a call of this
// name is under way. Only the owner calls it.
func (b *Inbox[S]) Call(name string, f func(ctx context.Context) Message[S]) {
	if b.calling[name] {
		return
	}
	b.calling[name] = true
	b.Go(func() {
		b.Post(finished[S]{inbox: b, name: name, result: f(b.context)})
	})
}

// IsCalling says whether a call of a name is under way. Only the owner calls it.
func (b *Inbox[S]) IsCalling(name string) bool {
	return b.calling[name]
}

// IsIdle says whether no call is under way and no message waits. Only the owner calls it.
func (b *Inbox[S]) IsIdle() bool {
	return len(b.calling) == 0 && len(b.messages) == 0
}

// Close ends the context and waits for the owner and all calls.
func (b *Inbox[S]) Close() {
	b.cancel()
	b.owner.Wait()
	b.calls.Wait()
}

// finished is the end of a call.
type finished[S any] struct {
	inbox  *Inbox[S]
	name   string
	result Message[S]
}

// Apply applies the call's result.
func (m finished[S]) Apply(state S) {
	delete(m.inbox.calling, m.name)
	if m.result != nil {
		m.result.Apply(state)
	}
}
