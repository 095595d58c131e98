package operator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/charge"
	"lovageyard.example/lovageyard/platform/memory"
	"lovageyard.example/lovageyard/timer"
)

// faultyTable is a table that can lose the request or the response of transactions and fail reads.
type faultyTable struct {
	lovageyard.Table
	loseResponse bool
	loseRequest  bool
	unreadable   bool
}

func (f *faultyTable) Transact(ctx context.Context, t lovageyard.Transaction) (int64, error) {
	if f.loseRequest {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "lost")
	}
	version, err := f.Table.Transact(ctx, t)
	if f.loseResponse {
		return 0, errors.Wrap(lovageyard.ErrUnknownOutcome, "lost")
	}
	return version, err
}

func (f *faultyTable) Read(ctx context.Context, table, key string) (lovageyard.Row, error) {
	if f.unreadable {
		return lovageyard.Row{}, errors.New("down")
	}
	return f.Table.Read(ctx, table, key)
}

// fakeController is a Controller with one site, which counts the calls of Poll.
type fakeController struct {
	polls int
}

func (*fakeController) Status(context.Context) (Status, error) {
	return Status{State: lovageyard.StateLive, Pools: []PoolStatus{{Service: "desk", Site: "north"}}}, nil
}

func (*fakeController) Explain(_ context.Context, class string, client netip.Addr) (Explanation, error) {
	return Explanation{Class: class, Client: client.String()}, nil
}

func (f *fakeController) Poll() {
	f.polls++
}

func newTestServer(t *testing.T) (client *Client, table *faultyTable, controller *fakeController) {
	table = &faultyTable{Table: memory.NewStore()}
	controller = &fakeController{}
	clock := timer.NewManual(time.Unix(1000, 0))
	server := httptest.NewServer(NewHandler(controller, table, clock, metrics.NewRegistry()))
	t.Cleanup(server.Close)
	// Nothing listens at the first address, so the client uses the next one.
	return NewClient([]string{"127.0.0.1:1", server.Listener.Addr().String()}), table, controller
}

func testClass(importance int) lovageyard.Class {
	return lovageyard.Class{
		Name:       "lookups",
		Service:    "desk",
		Match:      []lovageyard.Match{{PathPrefix: "/"}},
		Deadline:   lovageyard.Duration(time.Second),
		Importance: importance,
		Target:     lovageyard.Target{Cap: 0.1, Interval: lovageyard.Duration(time.Minute)},
	}
}

func statusOf(c *qt.C, err error) int {
	var callErr *CallError
	c.Assert(errors.As(err, &callErr), qt.IsTrue, qt.Commentf("%v", err))
	return callErr.Status
}

func TestConcurrentWrites(t *testing.T) {
	c := qt.New(t)
	client, _, controller := newTestServer(t)
	ctx := context.Background()
	first, err := client.PutClass(ctx, testClass(1), 0)
	c.Assert(err, qt.IsNil)
	second, err := client.PutClass(ctx, testClass(2), first.Version)
	c.Assert(err, qt.IsNil)
	_, err = client.PutClass(ctx, testClass(3), first.Version)
	c.Assert(statusOf(c, err), qt.Equals, 409)
	var callErr *CallError
	errors.As(err, &callErr)
	c.Assert(callErr.Problem.Winner.Version, qt.Equals, second.Version)
	c.Assert(callErr.Problem.Winner.Class.Importance, qt.Equals, 2)
	c.Assert(callErr.Problem.Verdict, qt.Equals, lovageyard.VerdictNotRun)
	c.Assert(controller.polls, qt.Equals, 2)
	c.Assert(client.DeleteClass(ctx, "lookups", second.Version), qt.IsNil)
	_, err = client.Class(ctx, "lookups")
	c.Assert(statusOf(c, err), qt.Equals, 404)
}

func TestWriteWithLostResponse(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   func(f *faultyTable)
		status  int
		verdict lovageyard.Verdict
	}{
		{"took effect", func(f *faultyTable) { f.loseResponse = true }, 0, ""},
		{"did not take effect so far", func(f *faultyTable) { f.loseRequest = true }, 504, lovageyard.VerdictMayHaveRun},
		{"can't be read back", func(f *faultyTable) { f.loseResponse, f.unreadable = true, true }, 504, lovageyard.VerdictMayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client, table, _ := newTestServer(t)
			test.fault(table)
			_, err := client.PutClass(context.Background(), testClass(1), 0)
			if test.status == 0 {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(statusOf(c, err), qt.Equals, test.status)
			var callErr *CallError
			errors.As(err, &callErr)
			c.Assert(callErr.Problem.Verdict, qt.Equals, test.verdict)
		})
	}
}

func TestSiteOrders(t *testing.T) {
	c := qt.New(t)
	client, table, _ := newTestServer(t)
	ctx := context.Background()
	c.Assert(client.Drain(ctx, "north", time.Unix(2000, 0)), qt.IsNil)
	row, err := table.Read(ctx, lovageyard.TableSites, "north")
	c.Assert(err, qt.IsNil)
	c.Assert(string(row.Value), qt.Contains, `"draining":true`)
	c.Assert(client.Restore(ctx, "north"), qt.IsNil)
	c.Assert(statusOf(c, client.Drain(ctx, "north", time.Unix(999, 0))), qt.Equals, 422)
	c.Assert(statusOf(c, client.Drain(ctx, "nowhere", time.Time{})), qt.Equals, 404)
}

func TestInvalidInput(t *testing.T) {
	c := qt.New(t)
	client, _, _ := newTestServer(t)
	ctx := context.Background()
	bad := testClass(1)
	bad.Target.Cap = 2
	_, err := client.PutClass(ctx, bad, 0)
	c.Assert(statusOf(c, err), qt.Equals, 422)
	c.Assert(err, qt.ErrorMatches, `target.cap: .*`)
	_, err = client.Explain(ctx, "lookups", "someone")
	c.Assert(statusOf(c, err), qt.Equals, 400)
	for _, path := range []string{"/classes/lookups?version=x", "/classes/lookups"} {
		err = client.call(ctx, "DELETE", path, nil, nil)
		c.Assert(statusOf(c, err), qt.Equals, 400, qt.Commentf("%s", path))
	}
	c.Assert(fmt.Sprint(NewClient(nil).get(ctx, "/status", nil)), qt.Contains, "no operator address")
}

func TestSettleCharge(t *testing.T) {
	c := qt.New(t)
	client, table, _ := newTestServer(t)
	ctx := context.Background()
	clock := timer.NewManual(time.Unix(1000, 0))
	store := charge.NewStore(table, clock, "entry/1")
	defer store.Close()
	claim, _, err := store.Claim(ctx, charge.Request{Class: "charges", Key: "a/b?c", SendBefore: clock.Now().Add(time.Second)})
	c.Assert(err, qt.IsNil)
	_, err = client.SettleCharge(ctx, "charges", "a/b?c", true, "olle")
	c.Assert(statusOf(c, err), qt.Equals, 409)
	store.MarkUnknown(claim)
	unknown, err := client.Charges(ctx, charge.Unknown)
	c.Assert(err, qt.IsNil)
	c.Assert(unknown, qt.HasLen, 1)
	settled, err := client.SettleCharge(ctx, "charges", "a/b?c", false, "olle")
	c.Assert(err, qt.IsNil)
	c.Assert(settled.State, qt.Equals, charge.Released)
	shown, err := client.Charge(ctx, "charges", "a/b?c")
	c.Assert(err, qt.IsNil)
	c.Assert(shown.SettledBy, qt.Equals, "olle")
	_, err = client.SettleCharge(ctx, "charges", "none", true, "olle")
	c.Assert(statusOf(c, err), qt.Equals, 404)
	_, err = client.SettleCharge(ctx, "charges", "a/b?c", true, "")
	c.Assert(statusOf(c, err), qt.Equals, 400)
	_, err = client.Charges(ctx, "lost")
	c.Assert(statusOf(c, err), qt.Equals, 400)
}
