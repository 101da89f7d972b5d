package stepledger

import (
	"strconv"
	"strings"
)

// ShardsPerWorkload is the number of streams among which the steps of a workload are distributed.
const ShardsPerWorkload = 2

// streamPrefix is the prefix of the names of the step ledger's streams.
const streamPrefix = "steps/"

// StreamName returns the name of the log stream of a workload's shard.
func StreamName(workload string, shard int) string {
	return streamPrefix + workload + "/" + strconv.Itoa(shard)
}

// ShardOf returns the number of the shard to which a step belongs.
func ShardOf(step uint64) int {
	return int(step % ShardsPerWorkload)
}

// ParseStream returns the workload and shard of a stream name. ok is false if the stream does not belong to the step ledger.
func ParseStream(stream string) (workload string, shard int, ok bool) {
	name, found := strings.CutPrefix(stream, streamPrefix)
	if !found {
		return "", 0, false
	}
	slash := strings.LastIndexByte(name, '/')
	if slash <= 0 {
		return "", 0, false
	}
	shard, err := strconv.Atoi(name[slash+1:])
	if err != nil || shard < 0 || shard >= ShardsPerWorkload {
		return "", 0, false
	}
	workload = name[:slash]
	return workload, shard, StreamName(workload, shard) == stream
}
