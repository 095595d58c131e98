package quota

import (
	"time"

	"lovageyard.example/lovageyard/peer/wire"
)

func toRequest(self string, uses []Use) *wire.SettleRequest {
	r := &wire.SettleRequest{Instance: self}
	for _, u := range uses {
		r.Uses = append(r.Uses, &wire.Use{
			Account: u.Account, Used: int64(u.Used), Returned: int64(u.Returned), Wanted: int64(u.Wanted), Level: int64(u.Level), Known: u.Known, Unmetered: u.Unmetered, Switched: u.Switched,
		})
	}
	return r
}

// maxCount bounds the counts of a report; no instance admits that many requests between two reports.
const maxCount = 1 << 20

// fromUses converts the uses of a message and drops those with counts out of range.
func fromUses(uses []*wire.Use) []Use {
	var out []Use
	for _, u := range uses {
		if !isCount(u.GetUsed()) || !isCount(u.GetReturned()) || !isCount(u.GetWanted()) || !isCount(u.GetLevel()) {
			continue
		}
		out = append(out, Use{
			Account: u.GetAccount(), Used: int(u.GetUsed()), Returned: int(u.GetReturned()), Wanted: int(u.GetWanted()), Level: int(u.GetLevel()), Known: u.GetKnown(), Unmetered: u.GetUnmetered(), Switched: u.GetSwitched(),
		})
	}
	return out
}

func isCount(n int64) bool {
	return n >= 0 && n <= maxCount
}

func toStates(states []State) []*wire.Limit {
	var out []*wire.Limit
	for _, s := range states {
		out = append(out, &wire.Limit{
			Account: s.Account, Granted: int64(s.Granted), Level: int64(s.Level), Tight: s.Metered, RetryAfterMs: s.RetryAfter.Milliseconds(),
		})
	}
	return out
}

func fromStates(states []*wire.Limit) []State {
	var out []State
	for _, s := range states {
		out = append(out, State{
			Account: s.GetAccount(), Granted: int(max(0, s.GetGranted())), Level: int(max(0, s.GetLevel())), Metered: s.GetTight(),
			RetryAfter: time.Duration(max(0, s.GetRetryAfterMs())) * time.Millisecond,
		})
	}
	return out
}
