package main

import (
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/dispatch"
	"lovageyard.example/lovageyard/entry"
	"lovageyard.example/lovageyard/footprint"
	"lovageyard.example/lovageyard/settings"
)

// minShiftWindow is the minimum of the ShiftWindow setting; a shorter window contains too few requests
// to count.
const minShiftWindow = 100 * time.Millisecond

// edgeOptions holds the settings of edge mode.
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
	DrainWithin     time.Duration     `default:"0s" help:"Time after which a server that leaves must get no requests. Together with apply-within it decides how often the platform is read; 0s means 2s."`
	QuotaWindow     time.Duration     `default:"5s" help:"Window that the requests of a client account are counted in, over all instances."`
	QuotaExcess     float64           `default:"0.1" help:"Part of an account's limit by which its requests in one window may exceed it."`
	QuotaSlack      float64           `default:"20" help:"Requests in one window beyond that."`
	LinkMbps        float64           `default:"0" help:"What this instance's link carries, in Mbit/s; relays are chosen by it, and the instances that look-ups return if there are routes with large bodies. 0 means that it is not known."`
	CPUQuota        float64           `name:"cpu-quota" default:"0" help:"Processor quota of the process in cores; its utilisation is measured by it. 0 means that it is not known."`
	MemoryMB        int               `name:"memory-mb" default:"0" help:"Memory limit of the process in MB; 0 means none."`
	MinBodyRate     int64             `default:"0" help:"Rate in bytes a second; a connection ends on which a body is sent or read more slowly for 5 s. 0 means none."`
	LogLevel        string            `default:"info" help:"Lines to log: error, warning, info or debug."`
	LogFormat       string            `default:"json" enum:"json,text" help:"Format of log lines: json or text."`
}

// Check returns an error that names the first invalid setting.
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
	return o.checkRanges()
}

func (o *edgeOptions) checkRanges() error {
	switch {
	case o.KeepFor <= 0 || o.KeepForMax <= 0:
		return errors.New("--keep-for and --keep-for-max: must be positive")
	case o.LeaveWithin <= 0:
		return errors.New("--leave-within: must be positive")
	case o.RetryRatio < 0 || o.RetrySlack < 0:
		return errors.New("--retry-ratio and --retry-slack: must not be negative")
	case o.RetryWindow < time.Second:
		return errors.New("--retry-window: must be at least 1s")
	case o.ColdExcess < 0 || o.ColdSlack < 0:
		return errors.New("--cold-excess and --cold-slack: must not be negative")
	case o.LargestShift <= 0 || o.LargestShift > 1:
		return errors.New("--largest-shift: must be above 0 and at most 1")
	case o.ShiftWindow < minShiftWindow:
		return errors.Errorf("--shift-window: must be at least %s", minShiftWindow)
	case o.RevokeWithin < 0 || o.ApplyWithin < 0 || o.DrainWithin < 0:
		return errors.New("--revoke-within, --apply-within and --drain-within: must not be negative")
	case o.QuotaWindow < time.Second:
		return errors.New("--quota-window: must be at least 1s")
	case o.QuotaExcess < 0 || o.QuotaSlack < 0:
		return errors.New("--quota-excess and --quota-slack: must not be negative")
	case o.LinkMbps < 0:
		return errors.New("--link-mbps: must not be negative")
	case o.CPUQuota < 0:
		return errors.New("--cpu-quota: must not be negative")
	case o.MemoryMB < 0:
		return errors.New("--memory-mb: must not be negative")
	case o.MinBodyRate < 0:
		return errors.New("--min-body-rate: must not be negative")
	}
	_, err := settings.Logger(o.LogLevel, o.LogFormat)
	return err
}

// bounds returns the limits on retries, cold servers and shifts, which apply to all instances together.
func (o *edgeOptions) bounds() dispatch.Bounds {
	return dispatch.Bounds{
		Retries: dispatch.RetryBound{Ratio: o.RetryRatio, Window: o.RetryWindow, Slack: o.RetrySlack},
		Cold:    dispatch.ColdBound{Excess: o.ColdExcess, Slack: o.ColdSlack},
		Shift:   dispatch.ShiftBound{MaxChange: o.LargestShift, Window: o.ShiftWindow},
	}
}

// ageLimitShare is the share of the RevokeWithin and ApplyWithin settings that is used as the limit on
// the configuration's age. The rest is reserved for reading and evaluating a request.
const ageLimitShare = 0.9

// ageLimits returns the limits on the age of the configuration by which requests are evaluated.
func (o *edgeOptions) ageLimits() entry.AgeLimits {
	return entry.AgeLimits{
		Serve:  time.Duration(ageLimitShare * float64(o.RevokeWithin)),
		Reject: time.Duration(ageLimitShare * float64(o.ApplyWithin)),
	}
}

// changeWithin returns the shortest time within which changes on the platform have to be in force, or 0 if
// none is set.
func (o *edgeOptions) changeWithin() time.Duration {
	if o.ApplyWithin == 0 || o.DrainWithin == 0 {
		return max(o.ApplyWithin, o.DrainWithin)
	}
	return min(o.ApplyWithin, o.DrainWithin)
}

// bodyShare is the share of the MemoryMB setting that may be held for bodies of requests and responses. Released
// bodies stay in the heap until the next garbage collection, by which they take about twice the memory; the rest is
// for the Go runtime, the buffers of idle connections and the control state.
const bodyShare = 0.25

// memoryPool returns the budget for bodies, or nil if the process has no memory limit.
func (o *edgeOptions) memoryPool() *footprint.Pool {
	if o.MemoryMB == 0 {
		return nil
	}
	return footprint.NewPool(int64(bodyShare * float64(o.MemoryMB) * bytesPerMiB))
}

// localDemandShare estimates the share of requests that come from this instance's region as the share
// of failure domains that are in it.
func (o *edgeOptions) localDemandShare() float64 {
	own := 0
	for _, region := range o.Regions {
		if region == o.Region {
			own++
		}
	}
	return float64(own) / float64(max(1, len(o.Regions)))
}
