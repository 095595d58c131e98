package charge

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/platform/memory"
	"lovageyard.example/lovageyard/timer"
)

// init makes the random plays repeat unless a seed is given.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// modelStep is the time between two steps of the background work of a model's instances.
const modelStep = time.Second

// modelTable is one instance's access to the store of a model.
type modelTable struct {
	*memory.Store
	cut  bool
	lost bool
}

func (m *modelTable) Transact(ctx context.Context, t lovageyard.Transaction) (int64, error) {
	if m.cut {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "cut off")
	}
	version, err := m.Store.Transact(ctx, t)
	if m.lost && err == nil {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "lost")
	}
	return version, err
}

func (m *modelTable) Read(ctx context.Context, table, key string) (lovageyard.Row, error) {
	if m.cut {
		return lovageyard.Row{}, errDown
	}
	return m.Store.Read(ctx, table, key)
}

func (m *modelTable) Changes(ctx context.Context, tables []string, after lovageyard.Position) (lovageyard.Changes, error) {
	if m.cut {
		return lovageyard.Changes{}, errDown
	}
	return m.Store.Changes(ctx, tables, after)
}

// modelInstance is an instance whose background work is done step by step.
type modelInstance struct {
	table    *modelTable
	store    *Store
	cutUntil time.Time
	checkAt  time.Time
}

// claimModel is a few instances that claim the same keys while their store is restored. It implements
// rapid.StateMachine.
type claimModel struct {
	clock     *timer.Manual
	platform  *memory.Store
	instances []*modelInstance
	copied    memory.Checkpoint
	copiedAt  time.Time
	// held holds the claims in flight, and ran the keys of requests that may have run.
	held map[string][]modelClaim
	ran  map[string]bool
}

type modelClaim struct {
	claim    *HeldClaim
	instance *modelInstance
}

func newClaimModel() *claimModel {
	m := &claimModel{
		clock:    timer.NewManual(time.Unix(1000, 0)),
		platform: memory.NewStore(),
		held:     make(map[string][]modelClaim),
		ran:      make(map[string]bool),
	}
	for n := range 3 {
		table := &modelTable{Store: m.platform}
		store := newStore(table, m.clock, fmt.Sprint("instance-", n), nil)
		m.instances = append(m.instances, &modelInstance{table: table, store: store})
	}
	m.copied, m.copiedAt = m.platform.Checkpoint(), m.clock.Now()
	return m
}

func (m *claimModel) drawInstance(t *rapid.T) *modelInstance {
	return rapid.SampledFrom(m.instances).Draw(t, "instance")
}

func (m *claimModel) drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
}

func (m *claimModel) claim(t *rapid.T) {
	i, key := m.drawInstance(t), m.drawKey(t)
	i.table.lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0
	held, _, _ := i.store.Claim(context.Background(), Request{
		Class: "charges", Key: key, SendBefore: m.clock.Now().Add(3 * time.Second),
	})
	i.table.lost = false
	if held != nil {
		m.held[key] = append(m.held[key], modelClaim{claim: held, instance: i})
	}
}

func (m *claimModel) finish(t *rapid.T) {
	key := m.drawKey(t)
	for _, h := range m.held[key] {
		h.instance.table.lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0
		switch rapid.IntRange(0, 2).Draw(t, "outcome") {
		case 0:
			h.instance.store.Release(h.claim)
		case 1:
			h.instance.store.MarkUnknown(h.claim)
			m.ran[key] = true
		default:
			h.instance.store.Record(h.claim, Answer{Status: 200, Whole: true})
			m.ran[key] = true
		}
		h.instance.table.lost = false
	}
	delete(m.held, key)
}

func (m *claimModel) checkpoint(*rapid.T) {
	m.copied, m.copiedAt = m.platform.Checkpoint(), m.clock.Now()
}

func (m *claimModel) restore(t *rapid.T) {
	if m.clock.Now().Sub(m.copiedAt) > time.Minute {
		t.Skip("the copy is too old")
	}
	m.platform.Restore(m.copied)
}

// cutOff cuts an instance off from the store for less than the time in which an era settles.
func (m *claimModel) cutOff(t *rapid.T) {
	i := m.drawInstance(t)
	if m.clock.Now().Before(i.cutUntil.Add(settleTime)) {
		t.Skip("it was cut off shortly before")
	}
	i.table.cut = true
	i.cutUntil = m.clock.Now().Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
}

func (m *claimModel) advance(t *rapid.T) {
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		m.clock.Advance(modelStep)
		for _, i := range m.instances {
			i.table.cut = m.clock.Now().Before(i.cutUntil)
			m.work(i)
		}
	}
}

// work does an instance's background work of one step.
func (m *claimModel) work(i *modelInstance) {
	select {
	case <-i.store.restored:
		i.checkAt = m.clock.Now()
	default:
	}
	if !m.clock.Now().Before(i.checkAt) {
		i.checkAt = m.clock.Now().Add(eraCheckInterval)
		if i.store.checkEra() != nil {
			i.checkAt = m.clock.Now().Add(retryInterval)
		}
	}
	for range len(i.store.backlog) {
		if w := <-i.store.backlog; !i.store.attempt(context.Background(), w) {
			i.store.enqueue(w)
		}
	}
}

// check fails if a request that was sent may run a second time.
func (m *claimModel) check(t *rapid.T) {
	for key, held := range m.held {
		if len(held) > 1 || len(held) > 0 && m.ran[key] {
			t.Fatalf("the request of key %q may run twice", key)
		}
	}
}

// TestClaimsHoldWhateverIsRestored plays claims, outcomes, restores and cuts at random.
func TestClaimsHoldWhateverIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel()
		t.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "finish": m.finish, "checkpoint": m.checkpoint, "restore": m.restore,
			"cutOff": m.cutOff, "advance": m.advance, "": m.check,
		})
	})
}
