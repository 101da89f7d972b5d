package byhand

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hillfork/hillfork/internal/cli"
	"github.com/hillfork/hillfork/internal/lab/cluster"
	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/node"
	"github.com/hillfork/hillfork/internal/settings"
	"github.com/matryer/is"
)

const (
	// examples holds the settings files and bundles of the README.
	examples = "../../../examples/by-hand"
	// testLimit ends a test that does not get on.
	testLimit = 2 * time.Minute
	// lookInterval is the time between two looks at what is awaited.
	lookInterval = 20 * time.Millisecond
)

// hand is what someone has in hand who runs every program by hand.
type hand struct {
	*is.I
	t          *testing.T
	ctx        context.Context
	directory  string
	platform   *Platform
	addresses  []string
	ended      []chan error
	publicKeys map[string]string
}

// run runs hillfork against the first node, with JSON as output, and returns what was printed.
func (h *hand) run(arguments ...string) (string, cli.ExitCode) {
	h.t.Helper()
	var out, problems bytes.Buffer
	arguments = append([]string{"--output", "json", "--server", h.addresses[0]}, arguments...)
	code := cli.Run(h.ctx, arguments, cli.Streams{In: strings.NewReader(""), Out: &out, Err: &problems})
	if problems.Len() > 0 {
		h.t.Log(strings.Join(arguments, " "), "->", strings.TrimSpace(problems.String()))
	}
	return out.String(), code
}

// must runs a command that has to succeed and decodes its answer.
func (h *hand) must(answer any, arguments ...string) {
	h.t.Helper()
	out, code := h.run(arguments...)
	h.Equal(code, cli.ExitDone)
	h.NoErr(json.Unmarshal([]byte(out), answer))
}

// eventually looks until what is awaited holds or the test's time is over.
func (h *hand) eventually(what string, holds func() bool) {
	h.t.Helper()
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			h.t.Fatalf("%s: %v", what, h.ctx.Err())
		}
	}
}

func (h *hand) file(name string) string { return filepath.Join(h.directory, name) }

func newHand(t *testing.T) *hand {
	ctx, cancel := context.WithTimeout(t.Context(), testLimit)
	t.Cleanup(cancel)
	h := &hand{I: is.New(t), t: t, ctx: ctx, directory: t.TempDir(), publicKeys: make(map[string]string)}
	fabric := cluster.NewLoopback()
	var err error
	h.platform, err = StartPlatform(PlatformConfig{
		Listen: fabric.NewHost(cluster.Place{}).IP + ":0", TransferTime: 10 * time.Millisecond, MaxReaders: 3,
	})
	h.NoErr(err)
	t.Cleanup(h.platform.Close)
	var ips []string
	for range 3 {
		ips = append(ips, fabric.NewHost(cluster.Place{}).IP)
		h.addresses = append(h.addresses, ips[len(ips)-1]+":7400")
	}
	h.makeKeys()
	h.startNodes(ips)
	return h
}

func (h *hand) makeKeys() {
	for _, partner := range []string{"zollwerk", "museums"} {
		var made struct {
			PublicKey string `json:"public_key"`
		}
		h.must(&made, "keys", "new", "--out", h.file(partner+".key"))
		h.publicKeys[partner] = made.PublicKey
	}
}

// bundle fills the keys into an example and returns the path of the result.
func (h *hand) bundle(name string) string {
	content, err := os.ReadFile(filepath.Join(examples, name))
	h.NoErr(err)
	filled := strings.NewReplacer("ZOLLWERK_KEY", h.publicKeys["zollwerk"], "MUSEUMS_KEY", h.publicKeys["museums"]).Replace(string(content))
	h.NoErr(os.WriteFile(h.file(name), []byte(filled), 0o600))
	return h.file(name)
}

// startNodes starts the nodes of the example settings, on addresses of this test's own.
func (h *hand) startNodes(ips []string) {
	for number, name := range []string{"linz-a-1", "linz-b-1", "wels-1"} {
		ip, next := ips[number], ips[(number+1)%len(ips)]
		parsed, err := settings.Parse("hillforkd", []string{
			"--config", filepath.Join(examples, name+".yaml"), "--seeds", next + ":7402",
			"--trusted-keys", "zollwerk=" + h.publicKeys["zollwerk"] + ",museums=" + h.publicKeys["museums"],
			"--api-listen", ip + ":7400", "--peer-listen", ip + ":7401", "--gossip-listen", ip + ":7402",
			"--metrics-listen", ip + ":7403", "--log-address", h.platform.Address(),
			"--weights-address", h.platform.Address(), "--machines-address", h.platform.Address(),
			"--scorer-address", h.platform.Address(),
		}, h.t.Output())
		h.NoErr(err)
		process, err := node.New(node.Config{Settings: parsed, Network: network.System{}, Incarnation: uint64(time.Now().UnixNano())})
		h.NoErr(err)
		ended := make(chan error, 1)
		h.ended = append(h.ended, ended)
		done := make(chan struct{})
		go func() {
			defer close(done)
			ended <- process.Run(context.Background())
		}()
		h.t.Cleanup(func() {
			process.Kill()
			<-done
		})
	}
}

// startEngines starts three engines, which speak for the pool of the example bundle.
func (h *hand) startEngines() *Engines {
	host, _, _ := strings.Cut(h.platform.Address(), ":")
	engines, err := StartEngines(h.ctx, EnginesConfig{
		Pool: "drafter", Count: 3, Listen: netip.MustParseAddrPort(host + ":0"), Platform: h.platform.Address(),
		Zone: "linz-a", Region: "at-east", Models: map[string]uint64{"customs": 1}, Slots: 8, TokenTime: time.Millisecond,
	})
	h.NoErr(err)
	h.t.Cleanup(engines.Close)
	return engines
}

// bundleStatus is how a proposal stands, as printed.
type bundleStatus struct {
	Digest string
	State  string
}

// roll proposes a document and signs it off for both partners; one signs the file, the other what the node holds.
func (h *hand) roll(path string) {
	var proposed bundleStatus
	h.must(&proposed, "bundle", "propose", path)
	var signed struct{ Status bundleStatus }
	h.must(&signed, "bundle", "sign", "--file", path, "--partner", "zollwerk", "--key", h.file("zollwerk.key"))
	h.Equal(signed.Status.State, "BUNDLE_STATE_PROPOSED")
	h.must(&signed, "bundle", "sign", "--digest", proposed.Digest, "--partner", "museums", "--key", h.file("museums.key"))
	h.Equal(signed.Status.State, "BUNDLE_STATE_IN_FORCE")
	var status bundleStatus
	h.must(&status, "bundle", "status", proposed.Digest)
	h.Equal(status.State, "BUNDLE_STATE_IN_FORCE")
}

// proposeLate proposes other content on the base of a document that was overtaken.
func (h *hand) proposeLate(path string) {
	content, err := os.ReadFile(path)
	h.NoErr(err)
	late := h.file("late.yaml")
	h.NoErr(os.WriteFile(late, bytes.Replace(content, []byte("share: 0.3"), []byte("share: 0.2"), 1), 0o600))
	_, code := h.run("bundle", "propose", late)
	h.Equal(code, cli.ExitFailed)
}

// nodesWith counts the nodes in a state that have a version of the bundle in force.
func (h *hand) nodesWith(state, version string) int {
	var listed struct {
		Nodes []struct {
			State         string
			BundleVersion string `json:"bundle_version"`
		}
	}
	h.must(&listed, "nodes")
	count := 0
	for _, listed := range listed.Nodes {
		if listed.State == state && listed.BundleVersion == version {
			count++
		}
	}
	return count
}

func (h *hand) engineStates() map[string]int {
	var listed struct{ Engines []struct{ State string } }
	h.must(&listed, "engines")
	states := make(map[string]int)
	for _, listed := range listed.Engines {
		states[listed.State]++
	}
	return states
}

// TestEveryProgramByHand does what the README describes, with every program that there is.
func TestEveryProgramByHand(t *testing.T) {
	h := newHand(t)
	engines := h.startEngines()
	first := h.bundle("bundle.yaml")
	_, code := h.run("bundle", "check", first)
	h.Equal(code, cli.ExitDone)
	h.eventually("the nodes meet", func() bool { return h.nodesWith("alive", "0") == 3 })

	h.roll(first)
	h.eventually("the first bundle is in force everywhere", func() bool { return h.nodesWith("alive", "1") == 3 })
	h.eventually("the engines serve", func() bool { return h.engineStates()["serving"] == 3 })

	h.interactive()
	h.train()

	second := h.bundle("bundle-2.yaml")
	h.roll(second)
	h.eventually("the second bundle is in force everywhere", func() bool { return h.nodesWith("alive", "2") == 3 })
	h.proposeLate(first)

	h.drainLastNode()
	h.NoErr(engines.Leave(h.ctx))
	h.eventually("the engines are gone", func() bool { return h.engineStates()["serving"] == 0 })
	_, code = h.run("request", "--workload", "clerks", "--prompt", "1,2,3")
	h.Equal(code, cli.ExitNotRun)
}

// interactive asks for an answer, and twice for one that is unsafe to repeat.
func (h *hand) interactive() {
	_, code := h.run("request", "--workload", "clerks", "--prompt", "9,9,9", "--max-tokens", "16")
	h.Equal(code, cli.ExitDone)
	filing := []string{"request", "--workload", "clerks", "--prompt", "7,8,9", "--max-tokens", "16", "--unsafe", "--id", "filing-1"}
	once, code := h.run(filing...)
	h.Equal(code, cli.ExitDone)
	again, code := h.run(filing...)
	h.Equal(code, cli.ExitDone)
	h.Equal(again, once)
	filing[4] = "7,8"
	_, code = h.run(filing...)
	h.Equal(code, cli.ExitFailed) // another body under a used id
}

// train runs two trainers, one after the other, for a step each and looks at what the nodes tell of them.
func (h *hand) train() {
	for step := uint64(1); step <= 2; step++ {
		var printed bytes.Buffer
		err := RunTrainer(h.ctx, TrainerConfig{
			Workload: "drafting", Model: "customs", Gateways: h.addresses, Platform: h.platform.Address(), FirstStep: step,
			Prompts: 2, SamplesPerPrompt: 4, Length: 20, MaxTokens: 60, TrainTime: time.Millisecond, Steps: 1, Seed: 1,
		}, &printed)
		h.NoErr(err)
		h.True(strings.Contains(printed.String(), fmt.Sprintf("drafting step %d: received, 8 samples, under bundle 1", step)))
	}
	var listed struct {
		Steps []struct{ Samples, Completed int }
	}
	h.must(&listed, "steps", "--workload", "drafting")
	h.Equal(len(listed.Steps), 2)
	for _, step := range listed.Steps {
		h.Equal(step.Completed, 8)
	}
	var shards struct{ Shards []struct{ Name string } }
	h.must(&shards, "shards")
	h.True(len(shards.Shards) >= 4) // one for each engine, and that of the request
}

// drainLastNode stops a node as planned and sees it go.
func (h *hand) drainLastNode() {
	last := len(h.ended) - 1
	_, code := h.run("drain", "wels-1")
	h.Equal(code, cli.ExitDone)
	select {
	case err := <-h.ended[last]:
		h.NoErr(err)
	case <-h.ctx.Done():
		h.NoErr(errors.New("the node did not stop"))
	}
	h.eventually("the other nodes know", func() bool { return h.nodesWith("alive", "2") == 2 })
}
