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

// State is the state of a claimed request.
type State string

// The states of a claim.
const (
	// Claimed means that the holder may be sending the request.
	Claimed State = "claimed"
	// Recorded means that the request ran and its answer is stored.
	Recorded State = "recorded"
	// Released means that the request did not run; the next request with the key may claim it.
	Released State = "released"
	// Unknown means that the request may have run; an operator has to settle the claim.
	Unknown State = "unknown"
)

// The events of the state machine.
const (
	eventClaim       = "claim"
	eventRecord      = "record"
	eventRelease     = "release"
	eventMarkUnknown = "lose"
)

// MaxClockSkew is the largest difference between the clocks of two machines that the protocol tolerates.
const MaxClockSkew = 2 * time.Second

// errTransition reports an event that the claim's state does not allow.
var errTransition = errors.New("the claim's state does not allow that")

// Claim is the value of a claim's row, encoded as JSON.
type Claim struct {
	Key   string `json:"key"`
	Class string `json:"class"`
	State State  `json:"state"`
	// Hash identifies the request's method, target and body; see HashRequest.
	Hash string `json:"hash"`
	// Attempt is the number of times the key has been claimed.
	Attempt int64 `json:"attempt"`
	// Holder identifies the request at the instance that claimed the key.
	Holder string `json:"holder"`
	// ClaimedAt and SendBefore are readings of the holder's clock. Nothing is sent after SendBefore.
	ClaimedAt  time.Time `json:"claimed-at"`
	SendBefore time.Time `json:"send-before"`
	Answer     *Answer   `json:"answer,omitempty"`
	// SettledBy and SettledAt are the operator who settled an unknown claim, and the time.
	SettledBy string    `json:"settled-by,omitempty"`
	SettledAt time.Time `json:"settled-at,omitzero"`
}

// Answer is the stored answer of a request that ran.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Whole reports whether Body is complete; the body of a long answer is not stored.
	Whole bool `json:"whole"`
}

// StateAt returns the claim's state at a time. A claim without an outcome is unknown once its holder can no
// longer send the request, whatever the skew of the clocks.
func (c *Claim) StateAt(now time.Time) State {
	if c.State == Claimed && now.After(c.SendBefore.Add(2*MaxClockSkew)) {
		return Unknown
	}
	return c.State
}

// isAnswered reports whether the request ran and its whole answer is known.
func (c *Claim) isAnswered() bool {
	return c.State == Recorded && c.Answer != nil && c.Answer.Whole
}

// apply applies an event to the claim's state, or returns an error if the state does not allow it.
func (c *Claim) apply(event string) error {
	m := fsm.NewFSM(string(c.State), fsm.Events{
		{Name: eventClaim, Src: []string{string(Released)}, Dst: string(Claimed)},
		{Name: eventRecord, Src: []string{string(Claimed), string(Unknown)}, Dst: string(Recorded)},
		{Name: eventRelease, Src: []string{string(Claimed), string(Unknown)}, Dst: string(Released)},
		{Name: eventMarkUnknown, Src: []string{string(Claimed)}, Dst: string(Unknown)},
	}, fsm.Callbacks{})
	if err := m.Event(context.Background(), event); err != nil {
		return errors.Wrapf(errTransition, "%s from %s", event, c.State)
	}
	c.State = State(m.Current())
	return nil
}

// supersedes reports whether c replaces another claim of its key that a restored store has. What may have run
// replaces what did not. The attempts of the two are not compared, as they may have been counted in different
// eras.
func (c *Claim) supersedes(o *Claim) bool {
	switch {
	case o.State == Recorded:
		return false
	case c.State == Recorded:
		return true
	case o.SettledBy != "" && o.Attempt >= c.Attempt:
		return false
	case c.Holder == o.Holder:
		return o.State == Claimed && c.State != Claimed
	case c.State == Released:
		return false
	}
	return o.State != Unknown
}

// HashRequest returns a hash of a request, in hexadecimal. A key that is used with another hash is rejected.
func HashRequest(method, target string, body []byte) string {
	digest := sha256.New()
	digest.Write([]byte(method + " " + target + "\n"))
	digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// RowKey returns the row key of a claim. Keys of different classes are distinct.
func RowKey(class, key string) string {
	return class + "/" + key
}

// maxKey is the maximum length of a key, in bytes.
const maxKey = 255

// CheckKey returns an error unless the key is non-empty printable ASCII without spaces, of at most 255 bytes.
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
