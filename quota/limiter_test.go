package quota_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/catalog"
	"lovageyard.example/lovageyard/meter"
	"lovageyard.example/lovageyard/peer/wire"
	"lovageyard.example/lovageyard/quota"
	"lovageyard.example/lovageyard/timer"
)

// longest bounds each wait; a wait ends as soon as its condition holds.
const longest = 60 * time.Second

// fleet is some limiters that reach each other in memory.
type fleet struct {
	c        *qt.C
	mu       sync.Mutex
	limiters map[string]*quota.Limiter
	cut      map[string]bool
	view     *catalog.View
}

func (f *fleet) View() *catalog.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fleet) Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error) {
	f.mu.Lock()
	target, cut := f.limiters[address], f.cut[address]
	f.mu.Unlock()
	if cut {
		return nil, errors.New("cut off")
	}
	return target.Settle(ctx, r)
}

func newFleet(t *testing.T, count int, accounts ...lovageyard.Account) *fleet {
	f := &fleet{c: qt.New(t), limiters: make(map[string]*quota.Limiter), cut: make(map[string]bool)}
	snapshot := &catalog.Snapshot{Configuration: &lovageyard.Configuration{Version: 1, Accounts: accounts}}
	f.view = &catalog.View{Snapshot: snapshot}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for n := range count {
		name := fmt.Sprint("entry-", n)
		f.view.Live = append(f.view.Live, lovageyard.EntryInstance{Name: name, PeerAddress: name, State: lovageyard.StateLive})
		f.limiters[name] = quota.NewLimiter(quota.Settings{
			Self: name, Bound: bound, Source: f, Peers: f, Timer: timer.Clock{}, Logger: logger, Metrics: meter.NewSet(),
		})
	}
	for _, l := range f.limiters {
		l.Start()
		f.c.Cleanup(l.Close)
	}
	return f
}

// untilAdmitted asks one limiter until it admits a request.
func (f *fleet) untilAdmitted(name string, a *lovageyard.Account) {
	f.c.Helper()
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f.limiters[name].Admit(context.Background(), a).Verdict == quota.Admitted {
			return
		}
	}
	f.c.Fatalf("%s admits nothing", name)
}

func TestAccountsWithoutLimitsWaitForNobody(t *testing.T) {
	f := newFleet(t, 1)
	f.c.Assert(f.limiters["entry-0"].Admit(context.Background(), nil).Verdict, qt.Equals, quota.Admitted)
	f.c.Assert(f.limiters["entry-0"].Admit(context.Background(), &lovageyard.Account{Name: "a"}).Verdict, qt.Equals, quota.Admitted)
}

// All instances admit requests of an account, whichever of them is its owner, and also once that is cut off.
func TestEveryInstanceAdmits(t *testing.T) {
	a := lovageyard.Account{Name: "a", Rate: 1000, Burst: 1000}
	f := newFleet(t, 3, a)
	for name := range f.limiters {
		f.untilAdmitted(name, &a)
	}
	for cut := range f.limiters {
		f.mu.Lock()
		f.cut = map[string]bool{cut: true}
		f.mu.Unlock()
		for name := range f.limiters {
			f.untilAdmitted(name, &a)
		}
	}
}

// A limit that requests of many callers at all instances exceed holds, and refused ones are told when to come back.
func TestLimitHoldsOverInstances(t *testing.T) {
	const perInstance = 400
	a := lovageyard.Account{Name: "a", Rate: 10, Burst: 10}
	f := newFleet(t, 3, a)
	var mu sync.Mutex
	admitted := 0
	began := time.Now()
	var callers sync.WaitGroup
	for _, l := range f.limiters {
		callers.Go(func() {
			for range perInstance {
				answer := l.Admit(context.Background(), &a)
				mu.Lock()
				if answer.Verdict == quota.Admitted {
					admitted++
				} else {
					f.c.Check(answer.Verdict, qt.Equals, quota.Refused)
					f.c.Check(answer.RetryAfter > 0, qt.IsTrue)
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	windows := 1 + float64(time.Since(began))/float64(bound.Window)
	allowed := ((a.Rate*bound.Window.Seconds()+a.Burst)*(1+bound.Excess) + bound.Slack) * windows
	f.c.Assert(float64(admitted) <= allowed, qt.IsTrue, qt.Commentf("%d admitted, %.0f allowed", admitted, allowed))
}

// A request that its caller gave up waits no longer.
func TestRequestOfACallerThatLeftDoesNotWait(t *testing.T) {
	a := lovageyard.Account{Name: "a", Rate: 1, Burst: 0}
	f := newFleet(t, 1, a)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.c.Assert(f.limiters["entry-0"].Admit(ctx, &a).Verdict, qt.Not(qt.Equals), quota.Pending)
}
