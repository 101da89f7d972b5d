package replica

import (
	"fmt"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/hillfork/hillfork/internal/fleet"
)

const (
	// maxLineBytes limits the text of one log line of engines: well below the length at which log collectors truncate
	// lines, usually 16 KB.
	maxLineBytes = 4 << 10
	// maxNamedLines is the maximum number of log lines per read that name engines; of the remaining engines only the
	// number is logged. A process that begins to read the records of thousands of engines would otherwise write
	// megabytes just when it has to take over.
	maxNamedLines = 8
)

// engineChanges collects the engines that one read of the store added or changed, so that they take few log lines
// however many engines there are. Every replica reads the same changes: with one line per engine these were 2/5 of all
// lines of a large fleet. The zero value is empty. It is used by one goroutine.
type engineChanges struct {
	texts []string
	bytes int
	// lines is the number of lines of the read written so far; unnamed counts the engines beyond them, by pool.
	lines   int
	unnamed map[string]int
	first   int64
	last    int64
}

// add adds an engine whose record at an offset was new or changed.
func (c *engineChanges) add(engine fleet.Engine, offset int64, logger *log.Logger) {
	if c.lines == maxNamedLines {
		c.countUnnamed(engine, offset)
		return
	}
	text := fmt.Sprintf("%s pool=%s address=%s zone=%s draining=%t versions=%v", engine.ID, engine.Pool, engine.Address, engine.Zone,
		engine.Draining, engine.Versions)
	if len(c.texts) > 0 && c.bytes+len(text) > maxLineBytes {
		c.writeNamed(logger)
		if c.lines == maxNamedLines {
			c.countUnnamed(engine, offset)
			return
		}
	}
	if len(c.texts) == 0 {
		c.first = offset
	}
	c.texts = append(c.texts, text)
	c.bytes += len(text)
	c.last = offset
}

// countUnnamed counts an engine that is not named.
func (c *engineChanges) countUnnamed(engine fleet.Engine, offset int64) {
	if c.unnamed == nil {
		c.unnamed = make(map[string]int)
		c.first = offset
	}
	c.unnamed[engine.Pool]++
	c.last = offset
}

// write logs the remaining changes of a read, if there are any, and resets c.
func (c *engineChanges) write(logger *log.Logger) {
	c.writeNamed(logger)
	if len(c.unnamed) > 0 {
		logger.Info("more engines known", "pools", c.unnamed, "first_offset", c.first, "last_offset", c.last)
	}
	*c = engineChanges{}
}

// writeNamed logs the line of the named engines, if there are any.
func (c *engineChanges) writeNamed(logger *log.Logger) {
	if len(c.texts) == 0 {
		return
	}
	logger.Info("engines known", "count", len(c.texts), "first_offset", c.first, "last_offset", c.last,
		"engines", strings.Join(c.texts, "; "))
	c.texts, c.bytes = nil, 0
	c.lines++
}
