package main

import (
	"time"

	"github.com/pkg/errors"

	"lovageyard.example/lovageyard/server"
	"lovageyard.example/lovageyard/settings"
)

// Limits of settings.
const (
	maxKeepFor   = time.Hour
	minLeaseSpan = time.Second
)

// options holds the settings of serve mode.
type options struct {
	Instance         string        `help:"Name of this entry instance, unique among all."`
	FailureDomain    string        `help:"Failure domain that this instance is in."`
	Region           string        `help:"Region of the failure domain."`
	CallerAddress    string        `default:"127.0.0.1:0" help:"Address for callers, host:port; port 0 lets the kernel choose."`
	PeerAddress      string        `default:"127.0.0.1:0" help:"Address for other entry instances, host:port."`
	OperatorAddress  string        `default:"127.0.0.1:0" help:"Address for operators, host:port."`
	PlatformAddress  string        `help:"Address of the platform's services, host:port."`
	PeerAddresses    []string      `help:"Peers to ask at start when the platform can't be reached, host:port."`
	KeepFor          time.Duration `default:"5s" help:"How long callers may keep a look-up's answer."`
	Headroom         float64       `default:"0.2" help:"Share of each site's capacity that placement keeps free, 0 to 0.9."`
	Choice           string        `default:"shared" help:"How a backend server is chosen: shared, two-choices, split, least-in-flight, round-robin or random."`
	QueuePerSlot     float64       `default:"3" help:"Length of the queue for each slot of a site's servers, 0 to 100."`
	SameRegionDelay  time.Duration `default:"1500us" help:"One-way delay between failure domains of a region."`
	OtherRegionDelay time.Duration `default:"35ms" help:"One-way delay between regions."`
	LeaseSpan        time.Duration `default:"6s" help:"Time after which an unrenewed planner lease lapses."`
	LogLevel         string        `default:"info" help:"Lines to log: error, warning, info or debug."`
	LogFormat        string        `default:"json" enum:"json,text" help:"Format of log lines: json or text."`
}

// Check returns an error that names the first invalid setting.
func (o *options) Check() error {
	for _, s := range []struct{ name, value string }{
		{"instance", o.Instance},
		{"failure-domain", o.FailureDomain},
		{"region", o.Region},
	} {
		if err := settings.Required(s.name, s.value); err != nil {
			return err
		}
	}
	for _, s := range []struct{ name, value string }{
		{"caller-address", o.CallerAddress},
		{"peer-address", o.PeerAddress},
		{"operator-address", o.OperatorAddress},
		{"platform-address", o.PlatformAddress},
	} {
		if err := settings.Address(s.name, s.value); err != nil {
			return err
		}
	}
	for _, address := range o.PeerAddresses {
		if err := settings.Address("peer-addresses", address); err != nil {
			return err
		}
	}
	return o.checkRanges()
}

func (o *options) checkRanges() error {
	const maxHeadroom, maxQueue = 0.9, 100
	if o.KeepFor <= 0 || o.KeepFor > maxKeepFor {
		return errors.Errorf("--keep-for: %s is not above 0s and at most %s", o.KeepFor, maxKeepFor)
	}
	if !(o.Headroom >= 0 && o.Headroom <= maxHeadroom) {
		return errors.Errorf("--headroom: %v is not 0 to %v", o.Headroom, maxHeadroom)
	}
	if !(o.QueuePerSlot >= 0 && o.QueuePerSlot <= maxQueue) {
		return errors.Errorf("--queue-per-slot: %v is not 0 to %v", o.QueuePerSlot, maxQueue)
	}
	if o.SameRegionDelay < 0 || o.OtherRegionDelay < 0 {
		return errors.New("--same-region-delay and --other-region-delay: must not be negative")
	}
	if o.SameRegionDelay > o.OtherRegionDelay {
		return errors.New("--same-region-delay: not above --other-region-delay")
	}
	if o.LeaseSpan < minLeaseSpan {
		return errors.Errorf("--lease-span: %s is below the minimum of %s", o.LeaseSpan, minLeaseSpan)
	}
	if _, err := server.ParseMode(o.Choice); err != nil {
		return errors.Wrap(err, "--choice")
	}
	_, err := settings.Logger(o.LogLevel, o.LogFormat)
	return err
}
