package bundle

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// durationUnits lists the units of the text form, largest first.
var durationUnits = []struct {
	length time.Duration
	suffix string
}{
	{time.Second, "s"},
	{time.Millisecond, "ms"},
	{time.Microsecond, "us"},
	{time.Nanosecond, "ns"},
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats the duration as a whole number of the largest unit, seconds or smaller, that divides it, such as
// "90s".
func (d Duration) String() string {
	for _, unit := range durationUnits {
		if time.Duration(d)%unit.length == 0 {
			return strconv.FormatInt(int64(time.Duration(d)/unit.length), 10) + unit.suffix
		}
	}
	return time.Duration(d).String()
}

// ParseDuration parses a number with a unit, such as "90s", "5m" or "1h30m".
func ParseDuration(text string) (Duration, error) {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return 0, oops.With("value", text).Errorf("%q is not a duration; write a number with a unit, such as 90s or 5m", text)
	}
	return Duration(parsed), nil
}

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON decodes the duration from a string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return oops.Wrap(err)
	}
	return d.UnmarshalText([]byte(text))
}

// MarshalYAML encodes the duration as a string.
func (d Duration) MarshalYAML() (any, error) {
	return d.String(), nil
}

// UnmarshalText decodes the duration from text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
