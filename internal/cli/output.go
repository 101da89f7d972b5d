package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is the human-readable form of a result.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// print writes the message for JSON output, else the table.
func (a *application) print(message proto.Message, shown table) error {
	if a.output == outputJSON {
		return a.printMessage(message)
	}
	return a.printTable(shown)
}

func (a *application) printTable(shown table) error {
	writer := tabwriter.NewWriter(a.streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(shown.header, "\t"))
	for _, row := range shown.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// printMessage writes a message as one line of JSON with the field names of the protobuf definition.
func (a *application) printMessage(message proto.Message) error {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return err
	}
	return a.printJSON(json.RawMessage(encoded))
}

// printJSON writes a value as one line of JSON.
func (a *application) printJSON(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.streams.Out, "%s\n", encoded)
	return err
}

// printFreshness writes the age of the returned data to the standard error. It prints nothing for JSON output, which
// already contains the age.
func (a *application) printFreshness(freshness *v1.Freshness) {
	if a.output == outputJSON || freshness == nil {
		return
	}
	fmt.Fprintf(a.streams.Err, "as known to %s, %d to %d ms ago\n", freshness.GetNode(), freshness.GetNewestMillis(), freshness.GetOldestMillis())
}
