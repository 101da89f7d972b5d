// Package explain tells the story of one request, item or job from the log lines of any number of nodes: which decisions
// touched it, in order of time, with the inputs they rested on, and the one that settled it. It reads text and JSON lines as
// package logging writes them, also with something before them, such as a node's name.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Fields  map[string]string
	// Source is what stands before the line, such as a node's name.
	Source string
}

// Story is what the lines tell of an id.
type Story struct {
	ID string
	// Lines are those that name the id, the job of the item it stands for, or the content of the request that was withheld, in order of
	// time.
	Lines []Line
	// Settled is the last decision that settled the id, nil if no line tells one.
	Settled *Line
}

// identifiers are the keys whose values name requests, what they ask, items and jobs.
var identifiers = []string{"request", "content", "item", "job"}

// settling are the messages that settle a request, an item or a job, by the key that names it.
var settling = map[string][]string{
	"request": {"request settled"},
	"item":    {"item listed", "item given up, its route is gone", "item given up, its scorer fails"},
	"job":     {"job ended", "job does not exist"},
}

// longestLine bounds a line; longer ones end the reading.
const longestLine = 1 << 20

// Read tells the story of an id from log lines. Lines that are no log lines are passed over.
func Read(input io.Reader, id string) (Story, error) {
	all, err := readLines(input, nil, func(lineHead) bool { return true })
	return Tell(all, id), err
}

// lineHead is what a line says before its keys.
type lineHead struct {
	Time    time.Time
	Message string
	Source  string
}

// readLines returns the log lines that are wanted by their heads, with these keys, nil for all. Lines that are no log lines are passed
// over. Most lines of a large fleet are of no use to a question, and reading their heads alone takes a tenth of the time.
func readLines(input io.Reader, keys []string, wanted func(lineHead) bool) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		head, known := readHead(scanner.Text())
		if known && !wanted(head) {
			continue
		}
		line, ok := Parse(scanner.Text())
		if ok && (known || wanted(lineHead{line.Time, line.Message, line.Source})) {
			lines = append(lines, line.with(keys))
		}
	}
	return lines, scanner.Err()
}

// with returns the line with these keys alone, as it is for nil.
func (l Line) with(keys []string) Line {
	if keys == nil {
		return l
	}
	kept := make(map[string]string)
	for _, key := range keys {
		if value, found := l.Fields[key]; found {
			kept[key] = value
		}
	}
	l.Fields = kept
	return l
}

// Beginnings of the keys of a JSON line as package logging writes it, in this order.
const (
	timeKey    = `{"time":"`
	messageKey = `"msg":"`
)

// readHead reads the head of a JSON line. It returns false for a line of another form, which may be a log line all the same.
func readHead(text string) (lineHead, bool) {
	source, rest, found := strings.Cut(text, timeKey)
	if !found {
		return lineHead{}, false
	}
	stamp, rest, _ := strings.Cut(rest, `"`)
	moment, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return lineHead{}, false
	}
	_, rest, found = strings.Cut(rest, messageKey)
	message, _, closed := strings.Cut(rest, `"`)
	if !found || !closed || strings.Contains(message, `\`) {
		return lineHead{}, false
	}
	return lineHead{Time: moment, Message: message, Source: strings.TrimSpace(source)}, true
}

// Tell tells the story of an id.
func Tell(all []Line, id string) Story {
	story := Story{ID: id}
	job := jobOf(all, id)
	content := contentOf(all, id)
	for _, line := range all {
		if names(line, id) || job != "" && line.Fields["job"] == job && line.Fields["item"] == "" ||
			content != "" && line.Fields["content"] == content && !slices.Contains(settling["request"], line.Message) {
			story.Lines = append(story.Lines, line)
		}
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i, line := range story.Lines {
		if settles(line, id) {
			story.Settled = &story.Lines[i]
		}
	}
	return story
}

// jobOf returns the job of the item that an id names.
func jobOf(all []Line, id string) string {
	for _, line := range all {
		if line.Fields["item"] == id && line.Fields["job"] != "" {
			return line.Fields["job"]
		}
	}
	return ""
}

// contentOf returns the content of the request that an id names, if engines ended under it. Other requests of that content tell why it
// was withheld.
func contentOf(all []Line, id string) string {
	for _, line := range all {
		if line.Fields["request"] == id && line.Fields["content"] != "" {
			return line.Fields["content"]
		}
	}
	return ""
}

func names(line Line, id string) bool {
	return slices.ContainsFunc(identifiers, func(key string) bool { return line.Fields[key] == id })
}

func settles(line Line, id string) bool {
	for key, messages := range settling {
		if line.Fields[key] == id && slices.Contains(messages, line.Message) {
			return true
		}
	}
	return false
}

var (
	timePattern  = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?(?:Z|[+-]\d\d:\d\d)`)
	fieldPattern = regexp.MustCompile(`([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// Parse reads one line. It returns false for what is no log line.
func Parse(text string) (Line, bool) {
	if start := strings.IndexByte(text, '{'); start >= 0 {
		if line, ok := parseJSON(text[start:]); ok {
			line.Source = strings.TrimSpace(text[:start])
			return line, true
		}
	}
	return parseText(text)
}

func parseJSON(text string) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal([]byte(text), &fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: make(map[string]string)}
	for key, value := range fields {
		line.Fields[key] = fmt.Sprint(value)
	}
	moment, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	if err != nil {
		return Line{}, false
	}
	line.Time, line.Level, line.Message = moment, line.Fields["level"], line.Fields["msg"]
	for _, key := range []string{"time", "level", "msg"} {
		delete(line.Fields, key)
	}
	return line, true
}

func parseText(text string) (Line, bool) {
	place := timePattern.FindStringIndex(text)
	if place == nil {
		return Line{}, false
	}
	moment, err := time.Parse(time.RFC3339Nano, text[place[0]:place[1]])
	if err != nil {
		return Line{}, false
	}
	rest := strings.TrimSpace(text[place[1]:])
	level, rest, _ := strings.Cut(rest, " ")
	line := Line{Time: moment, Level: level, Source: strings.TrimSpace(text[:place[0]]), Fields: make(map[string]string)}
	line.Message = rest
	if first := fieldPattern.FindStringIndex(rest); first != nil {
		line.Message = strings.TrimSpace(rest[:first[0]])
	}
	for _, match := range fieldPattern.FindAllStringSubmatch(rest, -1) {
		line.Fields[match[1]] = strings.Trim(match[2], `"`)
	}
	return line, true
}

// Write prints a story as text.
func (s Story) Write(output io.Writer) error {
	var text strings.Builder
	if len(s.Lines) == 0 {
		fmt.Fprintf(&text, "no line names %s\n", s.ID)
		_, err := io.WriteString(output, text.String())
		return err
	}
	began := s.Lines[0].Time
	for _, line := range s.Lines {
		fmt.Fprintf(&text, "%+9.3fs %-24s %s%s\n", line.Time.Sub(began).Seconds(), line.Source, line.Message, fieldsOf(line))
	}
	if s.Settled == nil {
		text.WriteString("nothing settled it in these lines\n")
	} else {
		fmt.Fprintf(&text, "settled by: %s%s\n", s.Settled.Message, fieldsOf(*s.Settled))
	}
	_, err := io.WriteString(output, text.String())
	return err
}

func fieldsOf(line Line) string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
		fmt.Fprintf(&text, " %s=%s", key, line.Fields[key])
	}
	return text.String()
}
