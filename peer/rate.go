package peer

import "math"

// Rates in demand reports are encoded on a logarithmic scale, in one byte for each bucket: 12 steps for each
// doubling, from one request in 100 s to about 23,500 requests a second, with an error of at most 3%.
const (
	minRate          = 0.01
	stepsPerDoubling = 12
	maxStep          = 255
)

// FromRates returns the wire form of rates in requests a second; rates below 0.005 become 0.
func FromRates(rates []float64) []byte {
	out := make([]byte, len(rates))
	for i, rate := range rates {
		out[i] = encodeRate(rate)
	}
	return out
}

func encodeRate(rate float64) byte {
	if rate < minRate/2 {
		return 0
	}
	step := math.Round(1 + stepsPerDoubling*math.Log2(rate/minRate))
	return byte(math.Max(1, math.Min(maxStep, step)))
}

// ToRates returns the rates of a wire message, in requests a second.
func ToRates(data []byte) []float64 {
	rates := make([]float64, len(data))
	for i, step := range data {
		if step > 0 {
			rates[i] = minRate * math.Pow(2, float64(step-1)/stepsPerDoubling)
		}
	}
	return rates
}
