package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestKeys(t *testing.T) {
	is := is.New(t)
	content := Content{1, 2, 255}
	for _, key := range []eventKey{
		{content: content, engine: "i-1"}, {content: content, engine: "i-1", startedAt: 1700000000123}, {content: content, engine: "i@x"}, {content: content, trial: 2, claim: "front-1@10.1.0.2#x1"},
	} {
		parsed, ok := parseKey(key.String())
		is.True(ok)
		is.Equal(parsed, key)
	}
	for _, text := range []string{
		"", "a/b", content.String(), content.String() + "/ended", content.String() + "/ended/", content.String() + "/trial/0/x",
		content.String() + "/trial/x/y", content.String() + "/other/x", "00/ended/x", "zz" + content.String()[2:] + "/ended/x",
	} {
		_, ok := parseKey(text)
		is.True(!ok)
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add(eventKey{engine: "i-1"}.String())
	f.Add(eventKey{engine: "i-1", startedAt: 5}.String())
	f.Add(eventKey{trial: 1, claim: "c"}.String())
	f.Fuzz(func(t *testing.T, text string) {
		key, ok := parseKey(text)
		if !ok {
			return
		}
		again, ok := parseKey(key.String())
		if !ok || again != key {
			t.Errorf("%q: %v, then %v", text, key, again)
		}
	})
}
