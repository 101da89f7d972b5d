package bundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// MaxDocumentBytes limits the size of a bundle document.
const MaxDocumentBytes = 256 << 10

var (
	durationType  = reflect.TypeFor[Duration]()
	syntaxErrorAt = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)
)

// Decode reads a bundle from YAML or JSON. It rejects unknown and repeated keys, missing required keys, wrong types,
// and everything that Validate rejects. The error is an *Invalid that lists every problem with its line.
func Decode(document []byte) (*Bundle, error) {
	found := &problems{lines: map[string]int{"": 1}}
	root := parse(document, found)
	if root == nil {
		return nil, found.err()
	}
	decoded := &Bundle{}
	decoder := decoder{problems: found}
	decoder.value(root, reflect.ValueOf(decoded).Elem(), "")
	if err := found.err(); err != nil {
		return nil, err
	}
	setDefaults(decoded)
	validate(decoded, found)
	if err := found.err(); err != nil {
		return nil, err
	}
	return decoded, nil
}

// setDefaults fills in optional keys, so that the canonical form contains the effective values.
func setDefaults(b *Bundle) {
	for i := range b.Workloads {
		workload := &b.Workloads[i]
		if workload.Kind == Training && workload.Swap == "" {
			workload.Swap = SwapContinue
		}
	}
}

// parse returns the root node of the single document, or nil after recording the problem.
func parse(document []byte, found *problems) *yaml.Node {
	if len(document) > MaxDocumentBytes {
		found.add("", "document has %d bytes; at most %d are allowed", len(document), MaxDocumentBytes)
		return nil
	}
	reader := yaml.NewDecoder(bytes.NewReader(jsonToYAML(document)))
	var root, rest yaml.Node
	if err := reader.Decode(&root); err != nil {
		found.addSyntaxError(err)
		return nil
	}
	if err := reader.Decode(&rest); err == nil {
		found.addAt(rest.Line, "", "there is more than one document")
		return nil
	} else if !errors.Is(err, io.EOF) {
		found.addSyntaxError(err)
		return nil
	}
	if root.Kind != yaml.DocumentNode || len(root.Content) != 1 {
		found.add("", "document is empty")
		return nil
	}
	return root.Content[0]
}

// jsonToYAML replaces the tabs of a JSON document by spaces, because YAML rejects tabs as white space. Other documents
// are returned unchanged.
func jsonToYAML(document []byte) []byte {
	if !json.Valid(document) {
		return document
	}
	return bytes.ReplaceAll(document, []byte("\t"), []byte(" "))
}

func (p *problems) addSyntaxError(err error) {
	if errors.Is(err, io.EOF) {
		p.add("", "document is empty")
		return
	}
	match := syntaxErrorAt.FindStringSubmatch(err.Error())
	if match == nil {
		p.add("", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return
	}
	line, _ := strconv.Atoi(match[1])
	p.addAt(line, "", "%s", match[2])
}

// decoder fills Go values from YAML nodes and records every problem that it finds.
type decoder struct {
	*problems
}

func (d decoder) value(node *yaml.Node, target reflect.Value, path string) {
	d.lines[path] = node.Line
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.add(path, "anchors and aliases are not allowed")
		return
	}
	if target.Type() == durationType {
		d.duration(node, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.mapping(node, target, path)
	case reflect.Slice:
		d.sequence(node, target, path)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(node, target.Elem(), path)
	default:
		d.scalar(node, target, path)
	}
}

func (d decoder) mapping(node *yaml.Node, target reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		d.add(path, "must be a mapping, not %s", describe(node))
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		keyPath := joinPath(path, key.Value)
		field, known := fields[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !known:
			d.addAt(key.Line, keyPath, "unknown key")
		case seen[key.Value]:
			d.addAt(key.Line, keyPath, "key is given twice")
		default:
			seen[key.Value] = true
			d.value(value, target.Field(field), keyPath)
		}
	}
	for i := range target.NumField() {
		name, required := fieldName(target.Type().Field(i))
		if required && !seen[name] {
			d.add(path, "required key %q is missing", name)
		}
	}
}

func (d decoder) sequence(node *yaml.Node, target reflect.Value, path string) {
	if node.Kind != yaml.SequenceNode {
		d.add(path, "must be a list, not %s", describe(node))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.value(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(list)
}

func (d decoder) scalar(node *yaml.Node, target reflect.Value, path string) {
	switch target.Kind() {
	case reflect.String:
		if node.Kind != yaml.ScalarNode || node.ShortTag() != "!!str" {
			d.add(path, "must be text, not %s", describe(node))
			return
		}
		target.SetString(node.Value)
	case reflect.Uint64:
		number, err := strconv.ParseUint(node.Value, 10, 64)
		if err != nil || node.ShortTag() != "!!int" {
			d.add(path, "must be a whole number from 0, not %s", describe(node))
			return
		}
		target.SetUint(number)
	case reflect.Int:
		number, err := strconv.ParseInt(node.Value, 10, 32)
		if err != nil || node.ShortTag() != "!!int" {
			d.add(path, "must be a whole number below 2^31, not %s", describe(node))
			return
		}
		target.SetInt(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(node.Value, 64)
		isNumber := node.ShortTag() == "!!int" || node.ShortTag() == "!!float"
		if err != nil || !isNumber || math.IsNaN(number) || math.IsInf(number, 0) {
			d.add(path, "must be a number, not %s", describe(node))
			return
		}
		target.SetFloat(number)
	default:
		panic("bundle schema has a field of an unsupported type at " + path)
	}
}

func (d decoder) duration(node *yaml.Node, target reflect.Value, path string) {
	if node.Kind != yaml.ScalarNode || node.ShortTag() != "!!str" {
		d.add(path, "must be a duration with a unit, such as 90s or 5m, not %s", describe(node))
		return
	}
	parsed, err := ParseDuration(node.Value)
	if err != nil {
		d.add(path, "%s", err.Error())
		return
	}
	target.SetInt(int64(parsed))
}

// describe returns a description of a node's content for messages.
func describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.ScalarNode:
		if node.ShortTag() == "!!null" {
			return "nothing"
		}
		return fmt.Sprintf("%.40q", node.Value)
	default:
		return "an alias"
	}
}

func fieldsOf(structure reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range structure.NumField() {
		name, _ := fieldName(structure.Field(i))
		fields[name] = i
	}
	return fields
}

// fieldName returns the key of a field and whether the key is required, which it is unless the tag has omitempty.
func fieldName(field reflect.StructField) (name string, required bool) {
	name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name, !strings.Contains(options, "omitempty")
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
