package settings

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const exampleKeys = "zollwerk=AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

func parse(args ...string) (*Settings, error) {
	return Parse("hillforkd", args, io.Discard)
}

func required(args ...string) []string {
	return append([]string{"--node", "n1", "--zone", "z1", "--region", "r1", "--trusted-keys", exampleKeys}, args...)
}

func TestInvalidValueErrorHasKeyValueAndAllowed(t *testing.T) {
	cases := []struct {
		key, value, allowed string
	}{
		{"node", "no spaces", allowedName},
		{"zone", "", allowedName},
		{"api-listen", "example.org:80", allowedAddress},
		{"peer-listen", "127.0.0.1", allowedAddress},
		{"scorer-address", "nowhere", allowedAddressOrNone},
		{"seeds", "127.0.0.1:1,x", allowedAddressList},
		{"trusted-keys", "zollwerk=short", allowedKeys},
		{"trusted-keys", "", allowedKeys},
		{"drain-timeout", "0s", allowedDrainTimeout},
		{"drain-timeout", "ten", allowedDrainTimeout},
		{"log-level", "loud", allowedLogLevels},
		{"log-format", "xml", allowedLogFormats},
	}
	for _, c := range cases {
		t.Run(c.key+"="+c.value, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(required("--"+c.key, c.value)...)
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid, &InvalidError{Key: c.key, Value: c.value, Allowed: c.allowed})
			is.True(strings.Contains(err.Error(), c.key))
		})
	}
}

func TestPrecedenceOfFlagsEnvironmentAndFile(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "node.yaml")
	content := "node: from-file\nzone: from-file\nregion: from-file\ntrusted-keys: " + exampleKeys + "\n"
	is.NoErr(os.WriteFile(file, []byte(content), 0o600))
	t.Setenv("HILLFORK_ZONE", "from-environment")
	t.Setenv("HILLFORK_REGION", "from-environment")
	s, err := parse("--config", file, "--region", "from-flag")
	is.NoErr(err)
	is.Equal([]string{s.Node, s.Zone, s.Region}, []string{"from-file", "from-environment", "from-flag"})
	is.Equal(s.PeerAdvertise, s.PeerListen)
	is.Equal(len(s.TrustedKeys["zollwerk"]), 1)
}

func TestUnknownKeyInFileIsRejected(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "node.yaml")
	is.NoErr(os.WriteFile(file, []byte("nodee: n1\n"), 0o600))
	_, err := parse(required("--config", file)...)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "nodee"))
}

func TestYAMLRoundTrip(t *testing.T) {
	is := is.New(t)
	want, err := parse(required("--seeds", "127.0.0.1:1,127.0.0.1:2", "--drain-timeout", "90s", "--log-format", "json")...)
	is.NoErr(err)
	file := filepath.Join(t.TempDir(), "node.yaml")
	is.NoErr(os.WriteFile(file, []byte(want.YAML()), 0o600))
	got, err := parse("--config", file)
	is.NoErr(err)
	is.Equal(got, want)
}

// FuzzParse checks that any settings file is either rejected with an error or yields settings that round-trip through YAML.
func FuzzParse(f *testing.F) {
	f.Add("node: n1\nzone: z1\nregion: r1\ntrusted-keys: " + exampleKeys + "\n")
	f.Add("node: [1, 2]\n")
	f.Add("seeds: \"127.0.0.1:1,[::1]:2\"\nnode: n\nzone: z\nregion: r\ntrusted-keys: " + exampleKeys + "\n")
	f.Fuzz(func(t *testing.T, content string) {
		file := filepath.Join(t.TempDir(), "node.yaml")
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		parsed, err := parse("--config", file)
		if err != nil {
			return
		}
		is := is.New(t)
		is.NoErr(os.WriteFile(file, []byte(parsed.YAML()), 0o600))
		again, err := parse("--config", file)
		is.NoErr(err)
		is.Equal(again, parsed)
	})
}
