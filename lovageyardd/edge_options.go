package main

import (
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/settings"
)

// minShiftWindow keeps windows long enough to hold requests to count.
const minShiftWindow = 100 * time.Millisecond

// edgeOptions are the settings of an entry instance on a platform with a feed.
type edgeOptions struct {
	Instance        string            `help:"Name of this entry instance, unique among all."`
	FailureDomain   string            `help:"Failure domain that this instance is in."`
	Region          string            `help:"Region of the failure domain."`
	Regions         map[string]string `mapsep:"," help:"Region of each failure domain, domain=region, joined by commas."`
	CallerAddress   string            `help:"Address for callers' requests, host:port."`
	ReadyAddress    string            `help:"Address for the platform's readiness checks, host:port."`
	LookUpAddress   string            `help:"Address for callers' look-ups, host:port."`
	PeerAddress     string            `help:"Address for other entry instances, host:port."`
	MetricsAddress  string            `help:"Address for metrics as text, host:port; empty means none."`
	PlatformAddress string            `help:"Address of the platform's metadata store, host:port."`
	PeerAddresses   []string          `help:"Peers to ask before any other is known, host:port."`
	KeepFor         time.Duration     `default:"2s" help:"How long callers may keep a look-up's answer."`
	KeepForMax      time.Duration     `default:"5s" help:"Longest time that callers keep it, whatever the answer says."`
	LeaveWithin     time.Duration     `default:"6s" help:"Time between the request to leave and the end by force."`
	RetryRatio      float64           `default:"0.2" help:"Share of a service's requests that all instances may repeat in one window."`
	RetryWindow     time.Duration     `default:"10s" help:"Window that repeats are counted in."`
	RetrySlack      float64           `default:"0" help:"Repeats in one window beyond the share, for all instances together."`
	ColdExcess      float64           `default:"1" help:"Factor by which a cold server's rate may be exceeded."`
	ColdSlack       float64           `default:"0" help:"Requests a second that a cold server gets beyond that."`
	LargestShift    float64           `default:"0.15" help:"Largest share of a region's requests that may change the region in which they run from one window to the next."`
	ShiftWindow     time.Duration     `default:"2s" help:"Window that shifts are counted in."`
	RevokeWithin    time.Duration     `default:"0s" help:"Time after which a key that the operator took away must run nothing, whatever happens; 0s means that no instance has to stop for the age of what it knows."`
	ApplyWithin     time.Duration     `default:"0s" help:"Time after which a configuration has to be in force; requests with unknown keys or routes are rejected only by knowledge that is younger. 0s means any age."`
	QuotaWindow     time.Duration     `default:"5s" help:"Window that the requests of a client account are counted in, over all instances."`
	QuotaExcess     float64           `default:"0.1" help:"Part of an account's limit by which its requests in one window may exceed it."`
	QuotaSlack      float64           `default:"20" help:"Requests in one window beyond that."`
	LinkMbps        float64           `default:"0" help:"What this instance's link carries, in Mbit/s; relays are chosen by it. 0 means that it is not known."`
	MemoryMB        int               `name:"memory-mb" default:"0" help:"Memory limit of the process in MB; 0 means none."`
	LogLevel        string            `default:"info" help:"Lines to log: error, warning, info or debug."`
	LogFormat       string            `default:"json" enum:"json,text" help:"Format of log lines: json or text."`
}

// Check returns an error that names the first setting that is wrong.
func (o *edgeOptions) Check() error {
	for _, s := range []struct{ name, value string }{
		{"instance", o.Instance},
		{"failure-domain", o.FailureDomain},
		{"region", o.Region},
	} {
		if err := settings.Required(s.name, s.value); err != nil {
			return err
		}
	}
	addresses := []struct{ name, value string }{
		{"caller-address", o.CallerAddress},
		{"ready-address", o.ReadyAddress},
		{"look-up-address", o.LookUpAddress},
		{"peer-address", o.PeerAddress},
		{"platform-address", o.PlatformAddress},
	}
	if o.MetricsAddress != "" {
		addresses = append(addresses, struct{ name, value string }{"metrics-address", o.MetricsAddress})
	}
	for _, address := range o.PeerAddresses {
		addresses = append(addresses, struct{ name, value string }{"peer-addresses", address})
	}
	for _, s := range addresses {
		if err := settings.Address(s.name, s.value); err != nil {
			return err
		}
	}
	return o.checkBounds()
}

func (o *edgeOptions) checkBounds() error {
	switch {
	case o.KeepFor <= 0 || o.KeepForMax <= 0:
		return errors.New("--keep-for and --keep-for-max: more than 0s")
	case o.LeaveWithin <= 0:
		return errors.New("--leave-within: more than 0s")
	case o.RetryRatio < 0 || o.RetrySlack < 0:
		return errors.New("--retry-ratio and --retry-slack: not below 0")
	case o.RetryWindow < time.Second:
		return errors.New("--retry-window: at least 1s")
	case o.ColdExcess < 0 || o.ColdSlack < 0:
		return errors.New("--cold-excess and --cold-slack: not below 0")
	case o.LargestShift <= 0 || o.LargestShift > 1:
		return errors.New("--largest-shift: above 0, and 1 at most")
	case o.ShiftWindow < minShiftWindow:
		return errors.Errorf("--shift-window: at least %s", minShiftWindow)
	case o.RevokeWithin < 0 || o.ApplyWithin < 0:
		return errors.New("--revoke-within and --apply-within: not below 0s")
	case o.QuotaWindow < time.Second:
		return errors.New("--quota-window: at least 1s")
	case o.QuotaExcess < 0 || o.QuotaSlack < 0:
		return errors.New("--quota-excess and --quota-slack: not below 0")
	case o.LinkMbps < 0:
		return errors.New("--link-mbps: not below 0")
	case o.MemoryMB < 0:
		return errors.New("--memory-mb: not below 0")
	}
	_, err := settings.Logger(o.LogLevel, o.LogFormat)
	return err
}

// bounds returns what all instances together keep to.
func (o *edgeOptions) bounds() dispatch.Bounds {
	return dispatch.Bounds{
		Retries: dispatch.RetryBound{Ratio: o.RetryRatio, Window: o.RetryWindow, Slack: o.RetrySlack},
		Cold:    dispatch.ColdBound{Excess: o.ColdExcess, Slack: o.ColdSlack},
		Shift:   dispatch.ShiftBound{MaxChange: o.LargestShift, Window: o.ShiftWindow},
	}
}

// knowledgeShare is the part of operators' bounds on the age of a configuration that is used: requests are read
// and judged within the rest.
const ageLimitShare = 0.9

// knowledgeLimits returns how old the knowledge may be that requests are judged by.
func (o *edgeOptions) ageLimits() entry.AgeLimits {
	return entry.AgeLimits{
		Serve:  time.Duration(ageLimitShare * float64(o.RevokeWithin)),
		Reject: time.Duration(ageLimitShare * float64(o.ApplyWithin)),
	}
}

// demand returns the share of the failure domains that are in the own region, as an
// estimate of the share of requests that come from it.
func (o *edgeOptions) localDemandShare() float64 {
	own := 0
	for _, region := range o.Regions {
		if region == o.Region {
			own++
		}
	}
	return float64(own) / float64(max(1, len(o.Regions)))
}
