package peer

import "math"

// The scale of rates in reports: a byte for each bucket, twelve steps for each doubling,
// from one request in 100 s to 25,000 requests a second; an error of at most 3%.
const (
	lowestRate     = 0.01
	stepsPerDouble = 12
	highestStep    = 255
)

// FromRates returns the wire form of rates in requests a second.
func FromRates(rates []float64) []byte {
	out := make([]byte, len(rates))
	for i, rate := range rates {
		out[i] = fromRate(rate)
	}
	return out
}

func fromRate(rate float64) byte {
	if rate < lowestRate/2 {
		return 0
	}
	step := math.Round(1 + stepsPerDouble*math.Log2(rate/lowestRate))
	return byte(math.Max(1, math.Min(highestStep, step)))
}

// ToRates returns the rates of a wire message.
func ToRates(data []byte) []float64 {
	rates := make([]float64, len(data))
	for i, step := range data {
		if step > 0 {
			rates[i] = lowestRate * math.Pow(2, float64(step-1)/stepsPerDouble)
		}
	}
	return rates
}
