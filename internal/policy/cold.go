package policy

import "time"

// ColdSlots returns the mean number of slots that an engine provides from now to a horizon if it is cold for coldFor. While
// it is cold, it starts at most rate requests per second, each of which holds a slot for item. ColdSlots returns all slots
// if the rate is not limited or item is not known.
func ColdSlots(slots int, rate float64, item, coldFor, horizon time.Duration) float64 {
	if rate <= 0 || item <= 0 || coldFor <= 0 || horizon <= 0 {
		return float64(slots)
	}
	cold := min(float64(slots), rate*item.Seconds())
	part := min(1, float64(coldFor)/float64(horizon))
	return part*cold + (1-part)*float64(slots)
}

// ColdForecast returns the pace forecast of an engine that is cold for coldFor and starts at most rate requests per second
// until then, for work with a number of events. If the rate keeps fewer slots busy than the engine has, the forecast of its
// current pace is slower by that ratio until the engine is warm.
func ColdForecast(warm Forecast, events float64, slots int, rate float64, coldFor time.Duration) Forecast {
	item := ConstantPace(warm.Usual).Time(events)
	if !warm.Known() || rate <= 0 || item <= 0 || coldFor <= 0 {
		return warm
	}
	current := time.Duration(float64(warm.Usual) * float64(slots) / (rate * item.Seconds()))
	if current <= warm.Current {
		return warm
	}
	return Forecast{Current: current, Usual: warm.Usual, SlowedFor: coldFor}
}

// MeanItem returns the mean time for which an item of the steps of some models holds its slot, 0 if it is not known.
func MeanItem(loads []StepLoad) time.Duration {
	var total time.Duration
	known := 0
	for _, load := range loads {
		if load.Item > 0 {
			total += load.Item
			known++
		}
	}
	return total / time.Duration(max(1, known))
}
