package replica

import (
	"fmt"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// newsBytes bounds the text of one line of news: it stays well below what log collectors cut off, usually 16 KB.
	newsBytes = 4 << 10
	// newsLines is how many lines of news of one read name engines; of the others their number is told. A process that begins to read the
	// records of thousands of engines would write megabytes just when it has to take over.
	newsLines = 8
)

// news gathers what one read of the store brought of engines, so that it takes few lines however many engines there are. Every
// replica learns the same of each engine: with a line apiece these were two fifths of all lines of a large fleet. The zero
// value is empty. It is used by one goroutine.
type news struct {
	texts []string
	bytes int
	// lines is how many lines of the read were written; unnamed counts the engines beyond them, by pool.
	lines   int
	unnamed map[string]int
	first   int64
	last    int64
}

// add takes an engine whose record at an offset was new or changed.
func (n *news) add(engine fleet.Engine, offset int64, logger *log.Logger) {
	if n.lines == newsLines {
		n.count(engine, offset)
		return
	}
	text := fmt.Sprintf("%s pool=%s address=%s zone=%s draining=%t versions=%v", engine.ID, engine.Pool, engine.Address, engine.Zone,
		engine.Draining, engine.Versions)
	if len(n.texts) > 0 && n.bytes+len(text) > newsBytes {
		n.writeNamed(logger)
		if n.lines == newsLines {
			n.count(engine, offset)
			return
		}
	}
	if len(n.texts) == 0 {
		n.first = offset
	}
	n.texts = append(n.texts, text)
	n.bytes += len(text)
	n.last = offset
}

// count takes an engine that is not named.
func (n *news) count(engine fleet.Engine, offset int64) {
	if n.unnamed == nil {
		n.unnamed = make(map[string]int)
		n.first = offset
	}
	n.unnamed[engine.Pool]++
	n.last = offset
}

// write writes what is left of a read, if there is any news, and forgets it.
func (n *news) write(logger *log.Logger) {
	n.writeNamed(logger)
	if len(n.unnamed) > 0 {
		logger.Info("more engines known", "pools", n.unnamed, "first_offset", n.first, "last_offset", n.last)
	}
	*n = news{}
}

// writeNamed writes the line of the engines that are named, if there are any.
func (n *news) writeNamed(logger *log.Logger) {
	if len(n.texts) == 0 {
		return
	}
	logger.Info("engines known", "count", len(n.texts), "first_offset", n.first, "last_offset", n.last,
		"engines", strings.Join(n.texts, "; "))
	n.texts, n.bytes = nil, 0
	n.lines++
}
