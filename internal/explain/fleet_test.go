package explain_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/explain"
	"github.com/matryer/is"
)

// TestStatesOfReplicas checks the log lines that make a replica enter and leave each state.
func TestStatesOfReplicas(t *testing.T) {
	const ready = "started; ready configuration=3; "
	tests := []struct {
		name  string
		lines string
		want  explain.State
	}{
		{"starting", "started", explain.StateStarting},
		{"ready", ready, explain.StateServing},
		{"lines from a later hour only", "request settled outcome=answered", explain.StateServing},
		{"store lost", ready + "store partition lost partition=engines/0 confirmed_ago=2s", explain.StateCutOff},
		{"store regained", ready + "store partition lost partition=engines/0 confirmed_ago=2s; store partition regained partition=engines/0",
			explain.StateServing},
		{"another partition regained", ready + "store partition lost partition=engines/0 confirmed_ago=2s; " +
			"store partition regained partition=operator/0", explain.StateCutOff},
		{"group lost", ready + "group lost group=jobs heard_ago=1s", explain.StateCutOff},
		{"group joined", ready + "group lost group=jobs heard_ago=1s; group joined group=jobs generation=4", explain.StateServing},
		{"gained", ready + "partition gained partition=jobs/3", explain.StateTakeover},
		{"gained orders", ready + "partition gained partition=weights/3", explain.StateServing},
		{"taken over", ready + "partition gained partition=jobs/3; partition taken over partition=jobs/3", explain.StateServing},
		{"gained and released", ready + "partition gained partition=jobs/3; partition released partition=jobs/3", explain.StateServing},
		{"stopped", ready + "stopping grace=8s; stopped", explain.StateStopped},
		{"killed with losses and started again", ready + "group lost group=jobs heard_ago=1s; started; ready", explain.StateServing},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			fleet, err := explain.ReadFleet(strings.NewReader(logOf("front-1", test.lines)))
			is.NoErr(err)
			is.Equal(len(fleet.Replicas), 1)
			is.Equal(fleet.Replicas[0].State, test.want)
		})
	}
}

// logOf returns the log of a replica: messages with their keys, one per second, each prefixed with the seconds since the start and the
// replica's name.
func logOf(name, messages string) string {
	var text strings.Builder
	moment := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	for i, message := range strings.Split(messages, "; ") {
		if message != "" {
			fmt.Fprintf(&text, "%8.4f %s %s INFO %s\n", float64(i), name, moment.Add(time.Duration(i)*time.Second).Format(time.RFC3339), message)
		}
	}
	return text.String()
}

// TestFleetSummary checks the summary of several replicas, and that replicas that need no attention are counted but not listed.
func TestFleetSummary(t *testing.T) {
	is := is.New(t)
	const ready = "started; ready; configuration in force version=7"
	input := "a line of another program\n" +
		logOf("plain", ready+"; request settled request=r outcome=answered") +
		logOf("behind", "started; ready; configuration in force version=5") +
		logOf("refusing", ready+"; request settled request=r outcome=not_run") +
		logOf("owner", ready+"; partition gained partition=jobs/3; partition taken over partition=jobs/3") +
		logOf("cut", ready+"; store partition lost partition=engines/0 confirmed_ago=2s; store partition lost partition=weights/1 confirmed_ago=never")
	fleet, err := explain.ReadFleet(strings.NewReader(input))
	is.NoErr(err)
	is.Equal(len(fleet.Replicas), 5)
	cut := fleet.Replicas[0]
	is.Equal(cut.Name, "cut")
	is.Equal(cut.Lost, []string{"engines/0", "weights/1"})
	is.Equal(fleet.Last.Sub(cut.OldestLoss), 3*time.Second)
	is.Equal(cut.Losses, 2)
	for _, replica := range fleet.Replicas {
		if replica.Name == "behind" {
			is.Equal(replica.VersionsBehind, int64(2))
			is.Equal(replica.SilentFor, 2*time.Second)
		}
	}
	var output bytes.Buffer
	is.NoErr(fleet.WriteFleet(&output))
	text := output.String()
	is.True(strings.Contains(text, "5 replicas: 1 cut off, 0 in takeover, 0 starting, 4 serving, 0 stopped"))
	for _, part := range []string{"5 (2 behind)", "jobs/3", "3.00 ago"} {
		is.True(strings.Contains(text, part))
	}
	is.True(!strings.Contains(text, "plain"))

	is.Equal((&explain.Fleet{}).WriteFleet(&output), explain.ErrNoReplicas)
}

// TestTableOfLargeFleetIsShort checks that the table stays short if most of a thousand replicas lose the store at different moments and
// some have an old configuration: it lists the replicas that most need attention first, and counts the others.
func TestTableOfLargeFleetIsShort(t *testing.T) {
	is := is.New(t)
	const replicas, cut = 985, 600
	var input strings.Builder
	for i := range replicas {
		lines := "started; ready; configuration in force version=7"
		if i%100 == 99 {
			lines = "started; ready; configuration in force version=6"
		}
		if i < cut {
			lines += fmt.Sprintf("; store partition lost partition=operator/0 confirmed_ago=%dms", 1+i)
		}
		input.WriteString(logOf(fmt.Sprintf("front-%03d", i), lines))
	}
	fleet, err := explain.ReadFleet(strings.NewReader(input.String()))
	is.NoErr(err)
	var output bytes.Buffer
	is.NoErr(fleet.WriteFleet(&output))
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.True(len(lines) < 40)
	is.Equal(lines[0], "985 replicas: 600 cut off, 0 in takeover, 0 starting, 385 serving, 0 stopped")
	is.Equal(lines[1], "configurations: 6 at 9, 7 at 976")
	// The six replicas that are cut off and behind come first, sorted by the age of their loss with the oldest at the top. The other
	// replicas that are cut off follow in the same order.
	is.True(strings.HasPrefix(lines[3], "front-599 "))
	is.True(strings.HasPrefix(lines[8], "front-099 "))
	is.True(strings.HasPrefix(lines[9], "front-598 "))
	is.Equal(lines[len(lines)-1], "and 580 more cut off")
}

// TestFleetShowsEvacuatedZones checks that a zone is shown until all replicas have taken it back, with the runs that the replicas
// last said to be left there. A replica that has stopped has none.
func TestFleetShowsEvacuatedZones(t *testing.T) {
	is := is.New(t)
	const begun = "started; ready; zone evacuated zone=a evacuated=true runs=5"
	input := logOf("busy", begun+"; evacuated zone has runs left zone=a runs=2") +
		logOf("done", begun+"; evacuated zone has no runs left zone=a") +
		logOf("stopped", begun+"; stopped") +
		logOf("taken-back", begun+"; zone evacuated zone=a evacuated=false runs=1")
	fleet, err := explain.ReadFleet(strings.NewReader(input))
	is.NoErr(err)
	var output bytes.Buffer
	is.NoErr(fleet.WriteFleet(&output))
	is.True(strings.Contains(output.String(), "evacuated: a for 1.00 s, known to 2 replicas, 2 runs left there\n"))
}
