package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/hillfork/hillfork/internal/bundle"
)

// privateFileMode restricts a key file to its owner.
const privateFileMode = 0o600

func (a *application) keysCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("keys", parent)
	return group(flags, "make the keys that sign bundles", a.newKeyCommand(flags))
}

func (a *application) newKeyCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("new", parent)
	path := flags.StringLong("out", "", "file for the private key; it must not exist")
	run := func(_ context.Context, _ []string) error { return a.newKey(*path) }
	return a.command(flags, "hillfork keys new --out FILE", "make a key pair; prints the public key", nil, run)
}

// newKey writes a new private key to path, which must not exist, and prints the public key in the format of bundles and
// settings.
func (a *application) newKey(path string) error {
	if path == "" {
		return usageError("--out is missing")
	}
	public, private, err := bundle.GenerateKey()
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateFileMode)
	if err != nil {
		return err
	}
	if _, err := file.Write(bundle.FormatPrivateKey(private)); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	text := bundle.FormatPublicKey(public)
	if a.output == outputJSON {
		return a.printJSON(map[string]string{"public_key": text})
	}
	_, err = fmt.Fprintln(a.streams.Out, text)
	return err
}
