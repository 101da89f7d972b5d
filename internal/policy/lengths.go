package policy

import "slices"

// Lengths learns how many events items come to from what was estimated of them and what they came to, and tells how many are
// left of one that runs. Estimates are in tokens, and often far off; what has come of an item tells more of it than its
// estimate once that is passed. The zero value knows nothing. It is not safe for concurrent use.
type Lengths struct {
	// ratios are events over estimate of the items that came to their end last, in order of size; order is the same in order
	// of arrival.
	ratios []float64
	order  []float64
	// events are what the same items came to, in order of arrival.
	events []int
}

// lengthsKept is how many items the distribution rests on: enough for its upper tenth to hold a few dozen, and few enough
// to follow a model whose outputs grow as it is trained.
const lengthsKept = 256

// capAfter is how many items must be known before expected lengths are capped by the longest of them: of 64 items a few are among the
// longest twentieth.
const capAfter = 64

// Learn takes an item that came to its end.
func (l *Lengths) Learn(estimate, events int) {
	if estimate <= 0 || events <= 0 {
		return
	}
	if len(l.order) == lengthsKept {
		place, _ := slices.BinarySearch(l.ratios, l.order[0])
		l.ratios = slices.Delete(l.ratios, place, place+1)
		l.order, l.events = l.order[1:], l.events[1:]
	}
	ratio := float64(events) / float64(estimate)
	place, _ := slices.BinarySearch(l.ratios, ratio)
	l.ratios = slices.Insert(l.ratios, place, ratio)
	l.order, l.events = append(l.order, ratio), append(l.events, events)
}

// Known tells whether any item was learnt from.
func (l *Lengths) Known() bool {
	return len(l.ratios) > 0
}

// Left returns how many events are still to come of an item of which made have, on average over the items known that were
// no shorter. It is 0 if nothing is known.
func (l *Lengths) Left(estimate, made int) float64 {
	if estimate <= 0 || len(l.ratios) == 0 {
		return 0
	}
	passed := float64(made) / float64(estimate)
	place, _ := slices.BinarySearch(l.ratios, passed)
	longer := l.ratios[place:]
	if len(longer) == 0 {
		// Nothing known is as long. The longest that is known stands in for what is left beyond it.
		return max(1, float64(made)-l.ratios[len(l.ratios)-1]*float64(estimate))
	}
	sum := 0.0
	for _, ratio := range longer {
		sum += ratio
	}
	return max(1, l.capped(sum/float64(len(longer))*float64(estimate))-float64(made))
}

// capped bounds an expected length, in events, by the longest known one: engines end answers at some number of tokens, and the ratios of
// short items are too high for long ones.
func (l *Lengths) capped(expected float64) float64 {
	if len(l.events) < capAfter {
		return expected
	}
	return min(expected, float64(slices.Max(l.events)))
}
