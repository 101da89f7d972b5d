package replica

import (
	"fmt"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/fleet"
)

// newsBytes bounds the text of one line of news: it stays well below what log collectors cut off, usually 16 KB.
const newsBytes = 4 << 10

// news gathers what one read of the store brought of engines, so that it takes few lines however many engines there are. Every
// replica learns the same of each engine: with a line apiece these were two fifths of all lines of a large fleet. The zero
// value is empty. It is used by one goroutine.
type news struct {
	texts []string
	bytes int
	first int64
	last  int64
}

// add takes an engine whose record at an offset was new or changed.
func (n *news) add(engine fleet.Engine, offset int64, logger *log.Logger) {
	text := fmt.Sprintf("%s pool=%s address=%s zone=%s draining=%t versions=%v", engine.ID, engine.Pool, engine.Address, engine.Zone,
		engine.Draining, engine.Versions)
	if len(n.texts) > 0 && n.bytes+len(text) > newsBytes {
		n.write(logger)
	}
	if len(n.texts) == 0 {
		n.first = offset
	}
	n.texts = append(n.texts, text)
	n.bytes += len(text)
	n.last = offset
}

// write writes a line, if there is any news, and forgets it.
func (n *news) write(logger *log.Logger) {
	if len(n.texts) == 0 {
		return
	}
	logger.Info("engines known", "count", len(n.texts), "first_offset", n.first, "last_offset", n.last,
		"engines", strings.Join(n.texts, "; "))
	*n = news{}
}
