package utilisation

import "time"

// window is the time over which utilisation is averaged. It is short against periodic load, whose periods take tens of
// seconds, and long against the service time of a single request.
const window = 3 * time.Second

// Usage is what an instance has used since a fixed point.
type Usage struct {
	// CPU is the processor time.
	CPU time.Duration
	// Bytes is the number of bytes received from clients and sent to them. Each byte of a body passes the link
	// once in each direction, as it is also exchanged with a backend server. So this is the load of either
	// direction.
	Bytes int64
}

// Source reads the usage of an instance.
type Source interface {
	Usage() (Usage, error)
}

// Capacity is what an instance may use; 0 means not known.
type Capacity struct {
	// Cores is the processor quota.
	Cores float64
	// LinkMbps is the bandwidth of the network link in Mbit/s.
	LinkMbps float64
}

// Meter computes the utilisation of an instance. It is not safe for concurrent use.
type Meter struct {
	source   Source
	capacity Capacity
	// samples are ordered by time; all but the first are younger than the window.
	samples []sample
}

// sample is the usage at one time.
type sample struct {
	usage Usage
	at    time.Duration
}

// NewMeter returns a Meter without samples.
func NewMeter(s Source, c Capacity) *Meter {
	return &Meter{source: s, capacity: c}
}

// Measure takes a sample at a monotonic time and returns the mean utilisation in the window before it: the used
// fraction of the processor quota or of the link's bandwidth, whichever is higher. It is not known if neither
// capacity is known, if the usage can't be read, or if there is no earlier sample.
func (m *Meter) Measure(now time.Duration) (utilisation float64, known bool) {
	if m.capacity.Cores <= 0 && m.capacity.LinkMbps <= 0 {
		return 0, false
	}
	usage, err := m.source.Usage()
	if err != nil {
		m.samples = nil
		return 0, false
	}
	for len(m.samples) > 1 && now-m.samples[1].at >= window {
		m.samples = m.samples[1:]
	}
	m.samples = append(m.samples, sample{usage: usage, at: now})
	first := m.samples[0]
	seconds := (now - first.at).Seconds()
	if seconds <= 0 {
		return 0, false
	}
	return m.capacity.utilisation(usage.CPU-first.usage.CPU, usage.Bytes-first.usage.Bytes, seconds), true
}

// utilisation returns the used fraction of the capacities that are known.
func (c Capacity) utilisation(cpu time.Duration, bytes int64, seconds float64) float64 {
	highest := 0.0
	if c.Cores > 0 {
		highest = cpu.Seconds() / seconds / c.Cores
	}
	if c.LinkMbps > 0 {
		highest = max(highest, 8*float64(bytes)/1e6/seconds/c.LinkMbps)
	}
	return highest
}
