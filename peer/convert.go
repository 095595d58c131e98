package peer

import (
	"math"

	"google.golang.org/protobuf/proto"

	"lovageyard.example/lovageyard"
	"lovageyard.example/lovageyard/instance"
	"lovageyard.example/lovageyard/move"
	"lovageyard.example/lovageyard/peer/wire"
)

// FromMember returns the wire form of a member; its age is not part of it.
func FromMember(m instance.Member) *wire.Member {
	w := &wire.Member{
		Instance:        m.Name,
		Life:            m.Incarnation,
		FailureDomain:   m.FailureDomain,
		Region:          m.Region,
		CallerAddress:   m.CallerAddress,
		PeerAddress:     m.PeerAddress,
		OperatorAddress: m.OperatorAddress,
		State:           string(m.State),
		Heartbeat:       m.Heartbeat,
		Version:         m.Version,
		LinkMbps:        m.LinkMbps,
		Behind:          m.Stale,
	}
	w.Steps = FromSteps(m.Steps)
	w.Utilisation = FromUtilisation(m)
	return w
}

// FromSteps returns the wire form of the steps of a member.
func FromSteps(steps []instance.Step) []*wire.Step {
	var out []*wire.Step
	for _, s := range steps {
		out = append(out, &wire.Step{Class: s.Class, Begun: s.Started, Settled: s.Completed, Left: float32(s.Remaining)})
	}
	return out
}

// ToSteps returns the steps of a wire message, in the same order.
func ToSteps(steps []*wire.Step) []instance.Step {
	var out []instance.Step
	for _, s := range steps {
		out = append(out, instance.Step{Class: s.GetClass(), Started: s.GetBegun(), Completed: s.GetSettled(), Remaining: float64(s.GetLeft())})
	}
	return out
}

// ToMember returns the member of a wire message, with an age of 0.
func ToMember(w *wire.Member) instance.Member {
	m := instance.Member{Heartbeat: w.GetHeartbeat(), Version: w.GetVersion(), Steps: ToSteps(w.GetSteps())}
	m.EntryInstance = lovageyard.EntryInstance{
		Name:            w.GetInstance(),
		Incarnation:     w.GetLife(),
		FailureDomain:   w.GetFailureDomain(),
		Region:          w.GetRegion(),
		CallerAddress:   w.GetCallerAddress(),
		PeerAddress:     w.GetPeerAddress(),
		OperatorAddress: w.GetOperatorAddress(),
		State:           lovageyard.InstanceState(w.GetState()),
		LinkMbps:        w.GetLinkMbps(),
		Stale:           w.GetBehind(),
	}
	SetUtilisation(&m, w.Utilisation)
	return m
}

// maxUtilisation limits the utilisation in messages, in thousandths. A process may use more than its quota for a
// moment, so that it can be above 1000.
const maxUtilisation = 10_000

// FromUtilisation returns the wire form of a member's utilisation, or nil if it is not known.
func FromUtilisation(m instance.Member) *uint32 {
	if !m.UtilisationKnown {
		return nil
	}
	return proto.Uint32(uint32(min(maxUtilisation, max(0, math.Round(1000*m.Utilisation)))))
}

// SetUtilisation sets a member's utilisation from its wire form. Nil leaves it as it is: the sender may be of a version
// that does not know it.
func SetUtilisation(m *instance.Member, w *uint32) {
	if w != nil {
		m.Utilisation, m.UtilisationKnown = float64(min(maxUtilisation, *w))/1000, true
	}
}

// FromPlacement returns the wire form of the placement that an instance applies for a class.
func FromPlacement(class string, placement move.Placement) *wire.Applied {
	w := &wire.Applied{Class: class, Step: placement.Step}
	siteIndexes := make(map[string]int32)
	siteIndex := func(site string) int32 {
		index, found := siteIndexes[site]
		if !found {
			index = int32(len(w.Sites))
			siteIndexes[site] = index
			w.Sites = append(w.Sites, site)
		}
		return index
	}
	for _, h := range placement.Homes {
		home := &wire.Home{FailureDomain: h.FailureDomain}
		for _, c := range h.Cells {
			home.Cells = append(home.Cells, &wire.Cell{
				Site:    siteIndex(c.Site),
				Next:    siteIndex(c.Target),
				Settled: float32(c.Shifted),
				Moving:  c.Moving,
			})
		}
		w.Homes = append(w.Homes, home)
	}
	return w
}

// ToPlacement returns the placement of a wire message, without the homes that lack cells or have an invalid
// site index.
func ToPlacement(w *wire.Applied) move.Placement {
	placement := move.Placement{Step: w.GetStep()}
	for _, h := range w.GetHomes() {
		home := move.Home{FailureDomain: h.GetFailureDomain()}
		for _, c := range h.GetCells() {
			if !isSiteIndex(w, c.GetSite()) || !isSiteIndex(w, c.GetNext()) {
				break
			}
			home.Cells = append(home.Cells, move.Cell{
				Site:    w.Sites[c.GetSite()],
				Target:  w.Sites[c.GetNext()],
				Shifted: float64(c.GetSettled()),
				Moving:  c.GetMoving(),
			})
		}
		if len(home.Cells) == lovageyard.Buckets {
			placement.Homes = append(placement.Homes, home)
		}
	}
	return placement
}

func isSiteIndex(w *wire.Applied, site int32) bool {
	return site >= 0 && int(site) < len(w.GetSites())
}
