// Package explain reconstructs the history of one request, item or job from the log lines of any number of nodes: the decisions
// that affected it in order of time, with their inputs, and the decision that settled it. It also summarizes the steps of trainers
// and the states of replicas. It reads text and JSON lines as package logging writes them, also with a prefix such as a node's name.
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
	// Source is the text before the log line, such as a node's name.
	Source string
}

// History is the log lines about one id.
type History struct {
	ID string
	// Lines are those that name the id, those about the job of the item with this id, and those about the content of the withheld
	// request with this id, in order of time.
	Lines []Line
	// Settled is the last decision that settled the id, nil if no line records one.
	Settled *Line
}

// identifierKeys are the keys whose values identify requests, their content, items and jobs.
var identifierKeys = []string{"request", "content", "item", "job"}

// settlingMessages are the messages that settle a request, an item or a job, by the key that identifies it.
var settlingMessages = map[string][]string{
	"request": {"request settled"},
	"item":    {"item listed", "item given up, its route is gone", "item given up, its scorer fails"},
	"job":     {"job ended", "job does not exist"},
}

// maxLineBytes is the maximum length of a line; reading stops with an error at a longer one.
const maxLineBytes = 1 << 20

// Read returns the history of an id from log lines. It skips lines that are not log lines.
func Read(input io.Reader, id string) (History, error) {
	all, err := readLines(input, nil, func(lineHead) bool { return true })
	return BuildHistory(all, id), err
}

// lineHead is the part of a line before its keys.
type lineHead struct {
	Time    time.Time
	Message string
	Source  string
}

// readLines returns the log lines whose heads wanted accepts, reduced to these keys, or with all keys if keys is nil. It skips lines
// that are not log lines. Most lines of a large fleet are irrelevant to a query, and reading only their heads takes a tenth of the
// time.
func readLines(input io.Reader, keys []string, wanted func(lineHead) bool) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		head, parsed := readHead(scanner.Text())
		if parsed && !wanted(head) {
			continue
		}
		line, ok := Parse(scanner.Text())
		if ok && (parsed || wanted(lineHead{line.Time, line.Message, line.Source})) {
			lines = append(lines, line.withKeys(keys))
		}
	}
	return lines, scanner.Err()
}

// withKeys returns the line reduced to these keys, or unchanged if keys is nil.
func (l Line) withKeys(keys []string) Line {
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

// Prefixes of the fields of a JSON line as package logging writes it, in this order.
const (
	timeKey    = `{"time":"`
	messageKey = `"msg":"`
)

// readHead reads the head of a JSON line. It returns false for a line of another format, which may still be a log line.
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

// BuildHistory returns the history of an id.
func BuildHistory(all []Line, id string) History {
	history := History{ID: id}
	job := jobOf(all, id)
	content := contentOf(all, id)
	for _, line := range all {
		if namesID(line, id) || job != "" && line.Fields["job"] == job && line.Fields["item"] == "" ||
			content != "" && line.Fields["content"] == content && !slices.Contains(settlingMessages["request"], line.Message) {
			history.Lines = append(history.Lines, line)
		}
	}
	slices.SortStableFunc(history.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for i, line := range history.Lines {
		if settlesID(line, id) {
			history.Settled = &history.Lines[i]
		}
	}
	return history
}

// jobOf returns the job of the item with this id.
func jobOf(all []Line, id string) string {
	for _, line := range all {
		if line.Fields["item"] == id && line.Fields["job"] != "" {
			return line.Fields["job"]
		}
	}
	return ""
}

// contentOf returns the content of the request with this id, if engines ended under it. Lines of other requests with the same content
// show why it was withheld.
func contentOf(all []Line, id string) string {
	for _, line := range all {
		if line.Fields["request"] == id && line.Fields["content"] != "" {
			return line.Fields["content"]
		}
	}
	return ""
}

func namesID(line Line, id string) bool {
	return slices.ContainsFunc(identifierKeys, func(key string) bool { return line.Fields[key] == id })
}

func settlesID(line Line, id string) bool {
	for key, messages := range settlingMessages {
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

// Parse reads one line. It returns false for text that is not a log line.
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
	position := timePattern.FindStringIndex(text)
	if position == nil {
		return Line{}, false
	}
	moment, err := time.Parse(time.RFC3339Nano, text[position[0]:position[1]])
	if err != nil {
		return Line{}, false
	}
	rest := strings.TrimSpace(text[position[1]:])
	level, rest, _ := strings.Cut(rest, " ")
	line := Line{Time: moment, Level: level, Source: strings.TrimSpace(text[:position[0]]), Fields: make(map[string]string)}
	line.Message = rest
	if first := fieldPattern.FindStringIndex(rest); first != nil {
		line.Message = strings.TrimSpace(rest[:first[0]])
	}
	for _, match := range fieldPattern.FindAllStringSubmatch(rest, -1) {
		line.Fields[match[1]] = strings.Trim(match[2], `"`)
	}
	return line, true
}

// Write prints the history as text.
func (s History) Write(output io.Writer) error {
	var text strings.Builder
	if len(s.Lines) == 0 {
		fmt.Fprintf(&text, "no line names %s\n", s.ID)
		_, err := io.WriteString(output, text.String())
		return err
	}
	start := s.Lines[0].Time
	for _, line := range s.Lines {
		fmt.Fprintf(&text, "%+9.3fs %-24s %s%s\n", line.Time.Sub(start).Seconds(), line.Source, line.Message, formatFields(line))
	}
	if s.Settled == nil {
		text.WriteString("nothing settled it in these lines\n")
	} else {
		fmt.Fprintf(&text, "settled by: %s%s\n", s.Settled.Message, formatFields(*s.Settled))
	}
	_, err := io.WriteString(output, text.String())
	return err
}

func formatFields(line Line) string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
		fmt.Fprintf(&text, " %s=%s", key, line.Fields[key])
	}
	return text.String()
}
