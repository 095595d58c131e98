package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lovageyard.example/lovageyard/meter"
)

// Shares records the regions to which requests are sent. It is safe for concurrent use.
type Shares struct {
	// Window is the time after which the shares are logged.
	Window  time.Duration
	Logger  *logrus.Logger
	Metrics *meter.Set

	mu sync.Mutex
	// startedAt is the start of the current window, zero before the first call of Report.
	startedAt time.Time
	current   regionCounts
	previous  regionCounts
}

// regionCounts counts the attempts of one window by region and rule.
type regionCounts map[string]map[string]int

// regionShare is the part of a log line that describes one region.
type regionShare struct {
	Share    float64        `json:"share"`
	Attempts map[string]int `json:"attempts"`
}

// Record counts an attempt that is sent to a region by a rule.
func (s *Shares) Record(region, rule string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		s.current = make(regionCounts)
	}
	if s.current[region] == nil {
		s.current[region] = make(map[string]int)
	}
	s.current[region][rule]++
}

// Report logs the shares of the current window once it has lasted for Window, and starts the next one.
func (s *Shares) Report(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.startedAt) < s.Window {
		return
	}
	s.startedAt = now
	if len(s.current) == 0 {
		return
	}
	s.log()
	s.previous, s.current = s.current, nil
}

// log logs the current window and updates the gauges.
func (s *Shares) log() {
	total := s.current.total()
	change := s.current.change(s.previous)
	regions := make(map[string]regionShare)
	for region, byRule := range s.current {
		share := s.current.share(region)
		regions[region] = regionShare{Share: share, Attempts: byRule}
		s.Metrics.Update(meter.RegionShare, int64(1000*share), region)
	}
	for region := range s.previous {
		if s.current[region] == nil {
			s.Metrics.Update(meter.RegionShare, 0, region)
		}
	}
	s.Metrics.Update(meter.RegionShareChange, int64(1000*change))
	s.Logger.WithFields(logrus.Fields{
		"attempts": total,
		"regions":  regions,
		"change":   change,
	}).Info("regions of requests")
}

func (c regionCounts) total() int {
	sum := 0
	for region := range c {
		sum += c.count(region)
	}
	return sum
}

func (c regionCounts) count(region string) int {
	sum := 0
	for _, n := range c[region] {
		sum += n
	}
	return sum
}

// share returns the share of the attempts that were sent to a region, 0 to 1.
func (c regionCounts) share(region string) float64 {
	total := c.total()
	if total == 0 {
		return 0
	}
	return float64(c.count(region)) / float64(total)
}

// change returns the share of the attempts that were sent to another region than in an earlier window: half
// the sum of all regions' differences. It is 0 if there were no attempts in one of the windows.
func (c regionCounts) change(earlier regionCounts) float64 {
	if c.total() == 0 || earlier.total() == 0 {
		return 0
	}
	sum := 0.0
	for region := range c {
		sum += max(0, c.share(region)-earlier.share(region))
	}
	return sum
}
