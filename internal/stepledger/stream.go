package stepledger

import (
	"strconv"
	"strings"
)

// ShardsPerWorkload is the number of streams that the steps of a workload are spread over.
const ShardsPerWorkload = 2

// streamPrefix starts the name of every stream of the step ledger.
const streamPrefix = "steps/"

// StreamName is the log stream of one shard of a workload.
func StreamName(workload string, shard int) string {
	return streamPrefix + workload + "/" + strconv.Itoa(shard)
}

// ShardOf is the shard that a step belongs to.
func ShardOf(step uint64) int {
	return int(step % ShardsPerWorkload)
}

// ParseStream splits a stream name; false when it is no stream of the step ledger.
func ParseStream(stream string) (workload string, shard int, ok bool) {
	rest, found := strings.CutPrefix(stream, streamPrefix)
	if !found {
		return "", 0, false
	}
	slash := strings.LastIndexByte(rest, '/')
	if slash <= 0 {
		return "", 0, false
	}
	shard, err := strconv.Atoi(rest[slash+1:])
	if err != nil || shard < 0 || shard >= ShardsPerWorkload {
		return "", 0, false
	}
	workload = rest[:slash]
	return workload, shard, StreamName(workload, shard) == stream
}
