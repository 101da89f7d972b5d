package ownership

import (
	"math"
	"strconv"
	"strings"
)

const (
	// sharePrecision is the fraction of a core, 1/1000, to which shares are rounded, so that machines of one size have
	// equal shares.
	sharePrecision = 1000
	// shareSeparator separates the machine's name from its share in a member's name.
	shareSeparator = "/"
)

// roundShare returns a share, in cores, rounded for comparison between members.
func roundShare(share float64) float64 {
	return math.Round(share*sharePrecision) / sharePrecision
}

// memberName returns the name of a machine in the group. It contains the share in cores, so that the list of owners
// shows the size of the members. A machine of unknown share has its plain name.
func memberName(machine string, share float64) string {
	if share <= 0 {
		return machine
	}
	return machine + shareSeparator + strconv.FormatFloat(share, 'g', -1, 64)
}

// shareOf returns the share in a member's name, in cores, or 0 if there is none.
func shareOf(member string) float64 {
	at := strings.LastIndex(member, shareSeparator)
	if at < 0 {
		return 0
	}
	share, err := strconv.ParseFloat(member[at+len(shareSeparator):], 64)
	if err != nil || share < 0 {
		return 0
	}
	return share
}
