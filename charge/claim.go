package charge

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"
)

// State is what is known of a claimed request.
type State string

// The states of a claim.
const (
	// Claimed: its holder may be sending it.
	Claimed State = "claimed"
	// Recorded: it ran, and its answer is kept.
	Recorded State = "recorded"
	// Released: it did not run; the next request with the key may claim it.
	Released State = "released"
	// Unknown: it may have run; an operator has to settle it.
	Unknown State = "unknown"
)

// The events of a claim.
const (
	eventClaim   = "claim"
	eventRecord  = "record"
	eventRelease = "release"
	eventLose    = "lose"
)

// MaxClockSkew is the largest difference of two clocks that the rules allow for.
const MaxClockSkew = 2 * time.Second

// Errors of a transition that the state does not allow.
var errState = errors.New("the claim's state does not allow that")

// Claim is the value of a claim's row.
type Claim struct {
	Key   string `json:"key"`
	Class string `json:"class"`
	State State  `json:"state"`
	// Hash stands for the request's method, target and body.
	Hash string `json:"hash"`
	// Attempt counts the times that the key was claimed.
	Attempt int64 `json:"attempt"`
	// Holder names the request at the instance that claimed the key.
	Holder string `json:"holder"`
	// ClaimedAt and SendBefore are by the holder's clock; nothing is sent after SendBefore.
	ClaimedAt  time.Time `json:"claimed-at"`
	SendBefore time.Time `json:"send-before"`
	Answer     *Answer   `json:"answer,omitempty"`
	// SettledBy and SettledAt tell which operator settled an unknown claim, and when.
	SettledBy string    `json:"settled-by,omitempty"`
	SettledAt time.Time `json:"settled-at,omitzero"`
}

// Answer is the kept answer of a request that ran.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Whole says that Body is all of it; a long answer is not kept.
	Whole bool `json:"whole"`
}

// StateAt returns the claim's state at a time: a claim whose holder may send no more,
// by any clock, and that says nothing is unknown.
func (c *Claim) StateAt(now time.Time) State {
	if c.State == Claimed && now.After(c.SendBefore.Add(2*MaxClockSkew)) {
		return Unknown
	}
	return c.State
}

// fire applies an event to the claim's state.
func (c *Claim) fire(event string) error {
	m := fsm.NewFSM(string(c.State), fsm.Events{
		{Name: eventClaim, Src: []string{string(Released)}, Dst: string(Claimed)},
		{Name: eventRecord, Src: []string{string(Claimed), string(Unknown)}, Dst: string(Recorded)},
		{Name: eventRelease, Src: []string{string(Claimed), string(Unknown)}, Dst: string(Released)},
		{Name: eventLose, Src: []string{string(Claimed)}, Dst: string(Unknown)},
	}, fsm.Callbacks{})
	if err := m.Event(context.Background(), event); err != nil {
		return errors.Wrapf(errState, "%s from %s", event, c.State)
	}
	c.State = State(m.Current())
	return nil
}

// HashRequest stands for a request: the same key with another hash is another request.
func HashRequest(method, target string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method + " " + target + "\n"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// RowKey returns the key of the row of a class's key.
func RowKey(class, key string) string {
	return class + "/" + key
}

// maxKey is the longest accepted key, in bytes.
const maxKey = 255

// CheckKey returns an error unless a caller's key is of printable ASCII and not too long.
func CheckKey(key string) error {
	if key == "" {
		return errors.New("Idempotency-Key: a value is needed for this class")
	}
	if len(key) > maxKey {
		return errors.Errorf("Idempotency-Key: longer than %d bytes", maxKey)
	}
	bad := func(r rune) bool { return r <= ' ' || r > '~' }
	if strings.ContainsFunc(key, bad) {
		return errors.New("Idempotency-Key: only printable ASCII without spaces is accepted")
	}
	return nil
}
