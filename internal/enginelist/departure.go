package enginelist

import (
	"fmt"
	"strings"
	"time"

	"github.com/charmbracelet/log"
)

// departure is an engine of which a record of the list says that it leaves, or is gone.
type departure struct {
	engineState
	gone bool
}

// maxNamedDepartures is the maximum number of departures of one read that are logged by name.
const maxNamedDepartures = 20

// departureLog collects the departures of one read of the list, so that they take one log line. The zero value is empty.
type departureLog struct {
	texts []string
	count int
}

func (d *departureLog) add(departed departure) {
	d.count++
	if len(d.texts) == maxNamedDepartures {
		return
	}
	state := "draining"
	if departed.gone {
		state = "gone"
	}
	d.texts = append(d.texts, fmt.Sprintf("%s pool=%s state=%s record=%d", departed.engine.ID, departed.engine.Pool, state, departed.offset))
}

// write logs the departures of a read and resets d. The records were appended less than maxAge ago; 0 if that is not known.
func (d *departureLog) write(logger *log.Logger, partition int, maxAge time.Duration) {
	logger.Info("listed engines leave", "partition", partition, "count", d.count, "engines", strings.Join(d.texts, "; "),
		"max_age", maxAge.Round(time.Millisecond))
	*d = departureLog{}
}
