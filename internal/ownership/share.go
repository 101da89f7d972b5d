package ownership

import (
	"math"
	"strconv"
	"strings"
)

const (
	// sharePrecision is how many parts of a core shares are rounded to, so that machines of one size have equal shares.
	sharePrecision = 1000
	// shareSeparator stands between a machine's name and its share in a member's name.
	shareSeparator = "/"
)

// rounded returns a share, in cores, as members compare it.
func rounded(share float64) float64 {
	return math.Round(share*sharePrecision) / sharePrecision
}

// memberName returns the name of a machine in the group. It contains the share in cores, so that the list of owners shows how large its
// members are; a machine of unknown share has its plain name.
func memberName(machine string, share float64) string {
	if share <= 0 {
		return machine
	}
	return machine + shareSeparator + strconv.FormatFloat(share, 'g', -1, 64)
}

// shareOf returns the share in a member's name, in cores, 0 if there is none.
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
