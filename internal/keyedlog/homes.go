package keyedlog

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// HomeSet is a set of regions to which batch jobs are bound: only processes and engines of these regions hold, run or read
// their items. The zero value means that jobs are not bound to regions. Equal sets have the same text: the sorted region names,
// joined by dots, with escapes for the bytes that the names of topics and groups must not contain.
type HomeSet string

const (
	homeTopicPrefix = string(TopicJobs) + "-"
	regionSeparator = "."
	regionEscape    = '_'
	// escapeDigits is the number of hexadecimal digits of an escaped byte.
	escapeDigits = 2
)

// NewHomeSet returns the set of some regions.
func NewHomeSet(regions []string) HomeSet {
	var escaped []string
	for _, region := range slices.Compact(slices.Sorted(slices.Values(regions))) {
		escaped = append(escaped, escapeRegion(region))
	}
	return HomeSet(strings.Join(escaped, regionSeparator))
}

// Regions returns the regions of the set, sorted; nil for the zero value.
func (h HomeSet) Regions() []string {
	if h == "" {
		return nil
	}
	regions := strings.Split(string(h), regionSeparator)
	for i, escaped := range regions {
		regions[i] = unescapeRegion(escaped)
	}
	slices.Sort(regions)
	return regions
}

// Includes reports whether the set contains a region. The zero value includes all regions.
func (h HomeSet) Includes(region string) bool {
	return h == "" || region != "" && slices.Contains(h.Regions(), region)
}

// Topic returns the topic that holds the jobs of the set: TopicJobs for the zero value, a topic of its own for any other.
func (h HomeSet) Topic() Topic {
	if h == "" {
		return TopicJobs
	}
	return Topic(homeTopicPrefix + string(h))
}

// HomeSetOf returns the home set of a topic of jobs, and false for any other topic.
func HomeSetOf(topic Topic) (HomeSet, bool) {
	if topic == TopicJobs {
		return "", true
	}
	homes, found := strings.CutPrefix(string(topic), homeTopicPrefix)
	return HomeSet(homes), found && homes != ""
}

// escapeRegion escapes every byte that is not a lower-case letter, digit or hyphen: an underscore and the byte in hexadecimal.
func escapeRegion(region string) string {
	var escaped strings.Builder
	for _, char := range []byte(region) {
		if char >= 'a' && char <= 'z' || char >= '0' && char <= '9' || char == '-' {
			escaped.WriteByte(char)
			continue
		}
		fmt.Fprintf(&escaped, "%c%0*x", regionEscape, escapeDigits, char)
	}
	return escaped.String()
}

// unescapeRegion is the inverse of escapeRegion. It keeps underscores that begin no escape.
func unescapeRegion(escaped string) string {
	var region strings.Builder
	for i := 0; i < len(escaped); i++ {
		if escaped[i] == regionEscape && i+escapeDigits < len(escaped) {
			if char, err := strconv.ParseUint(escaped[i+1:i+1+escapeDigits], 16, 8); err == nil {
				region.WriteByte(byte(char))
				i += escapeDigits
				continue
			}
		}
		region.WriteByte(escaped[i])
	}
	return region.String()
}
