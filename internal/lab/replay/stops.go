package replay

import (
	"time"

	"github.com/hillfork/hillfork/internal/lab/check"
)

// Stop is what was measured of one planned stop.
type Stop struct {
	Name string `json:"name"`
	// AtSeconds is when it began, since the start of the run.
	AtSeconds float64 `json:"at_seconds"`
	// TookSeconds is the time until a node's process had ended, or an engine produced its last token; negative when a node
	// had not ended by the end of the run.
	TookSeconds float64 `json:"took_seconds"`
	// InFlight counts the requests that were under way at some moment of it.
	InFlight int `json:"in_flight"`
}

// measureStops works out how long each planned stop took.
func measureStops(o *check.Observations) []Stop {
	lastTokens := make(map[string]time.Time)
	for _, chunks := range o.Chunks {
		for _, chunk := range chunks {
			if chunk.At.After(lastTokens[chunk.Engine]) {
				lastTokens[chunk.Engine] = chunk.At
			}
		}
	}
	var stops []Stop
	for _, stop := range o.Stops {
		ended := stop.EndedAt
		if stop.IsEngine {
			ended = lastTokens[stop.Name]
			if ended.Before(stop.At) {
				ended = stop.At
			}
		}
		measured := Stop{Name: stop.Name, AtSeconds: stop.At.Sub(o.BeganAt).Seconds(), TookSeconds: -1}
		if !ended.IsZero() {
			measured.TookSeconds = ended.Sub(stop.At).Seconds()
		}
		for _, request := range o.Requests {
			if request.InFlight(stop.At, ended) {
				measured.InFlight++
			}
		}
		stops = append(stops, measured)
	}
	return stops
}
