package quota

import "time"

// usageSlots is the number of slots of a sliding window.
const usageSlots = 50

// usage counts tokens in a sliding window, by time slots.
type usage struct {
	slots [usageSlots + 1]float64
	last  int64
}

// advance clears the slots that have left the window, and returns the current one.
func (u *usage) advance(window, now time.Duration) *float64 {
	current := int64(now / (window / usageSlots))
	if current-u.last > int64(len(u.slots)) {
		u.last = current - int64(len(u.slots))
	}
	for u.last < current {
		u.last++
		u.slots[u.last%int64(len(u.slots))] = 0
	}
	return &u.slots[current%int64(len(u.slots))]
}

// add counts tokens in the current slot.
func (u *usage) add(tokens float64, window, now time.Duration) {
	*u.advance(window, now) += tokens
}

// sum returns the number of tokens in the window.
func (u *usage) sum(window, now time.Duration) float64 {
	u.advance(window, now)
	total := 0.0
	for _, tokens := range u.slots {
		total += tokens
	}
	return total
}
