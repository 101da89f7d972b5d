package follow

import "github.com/hillfork/hillfork/internal/keyedlog"

// block is a range of records that don't matter, see Config.Block, and of which the last ones have not been read.
type block struct {
	// last is the offset of the last record of the block, lastKey its key.
	last    int64
	lastKey string
}

// lastIsFirstOf reports whether the first of the records is the last record of the block.
func (b *block) lastIsFirstOf(records []keyedlog.Record) bool {
	return len(records) > 0 && records[0].Offset == b.last && records[0].Key == b.lastKey
}

// unfinishedBlock returns the block that began in a batch and ends after it but before the end of the partition, nil if there is
// none.
func (f *Follower) unfinishedBlock(batch keyedlog.Batch) *block {
	if f.config.Block == nil || f.nextOffset >= batch.End {
		return nil
	}
	for _, record := range batch.Records {
		distance, lastKey, ok := f.config.Block(record)
		if last := record.Offset + distance; ok && last > f.nextOffset && last < batch.End {
			return &block{last: last, lastKey: lastKey}
		}
	}
	return nil
}
