package policy

import "slices"

// Lengths learns the ratio of actual to estimated length from completed items, and predicts how many events are left of
// a running one. Estimates are in tokens and often far off; once an item has passed its estimate, the events it has
// produced predict its length better. The zero value has learned nothing. A Lengths is not safe for concurrent use.
type Lengths struct {
	// sortedRatios are the ratios of events to estimate of the last completed items, in ascending order; ratiosByArrival
	// are the same in order of arrival.
	sortedRatios    []float64
	ratiosByArrival []float64
	// eventsByArrival are the lengths of the same items, in order of arrival.
	eventsByArrival []int
}

// maxLengthSamples is the number of items in the distribution: enough for its upper tenth to contain a few dozen, and
// few enough to follow a model whose outputs grow during training.
const maxLengthSamples = 256

// minSamplesForCap is the number of items from which on expected lengths are capped by the longest one. Of 64 items, a
// few are among the longest twentieth.
const minSamplesForCap = 64

// Observe adds a completed item.
func (l *Lengths) Observe(estimate, events int) {
	if estimate <= 0 || events <= 0 {
		return
	}
	if len(l.ratiosByArrival) == maxLengthSamples {
		index, _ := slices.BinarySearch(l.sortedRatios, l.ratiosByArrival[0])
		l.sortedRatios = slices.Delete(l.sortedRatios, index, index+1)
		l.ratiosByArrival, l.eventsByArrival = l.ratiosByArrival[1:], l.eventsByArrival[1:]
	}
	ratio := float64(events) / float64(estimate)
	index, _ := slices.BinarySearch(l.sortedRatios, ratio)
	l.sortedRatios = slices.Insert(l.sortedRatios, index, ratio)
	l.ratiosByArrival, l.eventsByArrival = append(l.ratiosByArrival, ratio), append(l.eventsByArrival, events)
}

// Known reports whether any item was added.
func (l *Lengths) Known() bool {
	return len(l.sortedRatios) > 0
}

// Remaining returns the expected number of events left of an item that has made some, as the average over the known items
// that were at least as long relative to their estimates. It is 0 if nothing is known.
func (l *Lengths) Remaining(estimate, produced int) float64 {
	if estimate <= 0 || len(l.sortedRatios) == 0 {
		return 0
	}
	ratioSoFar := float64(produced) / float64(estimate)
	index, _ := slices.BinarySearch(l.sortedRatios, ratioSoFar)
	longer := l.sortedRatios[index:]
	if len(longer) == 0 {
		// No known item was as long. The overrun beyond the longest one estimates what is left.
		return max(1, float64(produced)-l.sortedRatios[len(l.sortedRatios)-1]*float64(estimate))
	}
	sum := 0.0
	for _, ratio := range longer {
		sum += ratio
	}
	return max(1, l.capped(sum/float64(len(longer))*float64(estimate))-float64(produced))
}

// capped limits an expected length, in events, to the longest known one. Engines end responses at some number of tokens,
// and the ratios of short items are too high for long ones.
func (l *Lengths) capped(expected float64) float64 {
	if len(l.eventsByArrival) < minSamplesForCap {
		return expected
	}
	return min(expected, float64(slices.Max(l.eventsByArrival)))
}
