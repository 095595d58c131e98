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

// waitTimeout bounds each wait; a wait ends as soon as its condition holds.
const waitTimeout = 60 * time.Second

// fleet is a group of limiters that call each other in memory.
type fleet struct {
	c            *qt.C
	mu           sync.Mutex
	limiters     map[string]*quota.Limiter
	disconnected map[string]bool
	view         *catalog.View
}

func (f *fleet) View() *catalog.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fleet) Settle(ctx context.Context, address string, r *wire.SettleRequest) (*wire.SettleReply, error) {
	f.mu.Lock()
	target, disconnected := f.limiters[address], f.disconnected[address]
	f.mu.Unlock()
	if disconnected {
		return nil, errors.New("disconnected")
	}
	return target.Settle(ctx, r)
}

func newFleet(t *testing.T, count int, accounts ...lovageyard.Account) *fleet {
	f := &fleet{c: qt.New(t), limiters: make(map[string]*quota.Limiter), disconnected: make(map[string]bool)}
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

// waitUntilAdmitted retries at one limiter until it admits a request.
func (f *fleet) waitUntilAdmitted(name string, a *lovageyard.Account) {
	f.c.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f.limiters[name].Admit(context.Background(), a).Verdict == quota.Admitted {
			return
		}
	}
	f.c.Fatalf("%s admitted no request", name)
}

func TestAccountWithoutLimitIsAdmitted(t *testing.T) {
	f := newFleet(t, 1)
	f.c.Assert(f.limiters["entry-0"].Admit(context.Background(), nil).Verdict, qt.Equals, quota.Admitted)
	f.c.Assert(f.limiters["entry-0"].Admit(context.Background(), &lovageyard.Account{Name: "a"}).Verdict, qt.Equals, quota.Admitted)
}

// All instances admit requests of an account, whichever of them is its owner, and also after the owner is
// disconnected.
func TestEveryInstanceAdmits(t *testing.T) {
	a := lovageyard.Account{Name: "a", Rate: 1000, Burst: 1000}
	f := newFleet(t, 3, a)
	for name := range f.limiters {
		f.waitUntilAdmitted(name, &a)
	}
	for disconnected := range f.limiters {
		f.mu.Lock()
		f.disconnected = map[string]bool{disconnected: true}
		f.mu.Unlock()
		for name := range f.limiters {
			f.waitUntilAdmitted(name, &a)
		}
	}
}

// A limit holds when callers at all instances exceed it, and refused requests get a retry time.
func TestLimitHoldsAcrossInstances(t *testing.T) {
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
				decision := l.Admit(context.Background(), &a)
				mu.Lock()
				if decision.Verdict == quota.Admitted {
					admitted++
				} else {
					f.c.Check(decision.Verdict, qt.Equals, quota.Refused)
					f.c.Check(decision.RetryAfter > 0, qt.IsTrue)
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

// A request whose context is canceled does not wait.
func TestCanceledRequestDoesNotWait(t *testing.T) {
	a := lovageyard.Account{Name: "a", Rate: 1, Burst: 0}
	f := newFleet(t, 1, a)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.c.Assert(f.limiters["entry-0"].Admit(ctx, &a).Verdict, qt.Not(qt.Equals), quota.Pending)
}
