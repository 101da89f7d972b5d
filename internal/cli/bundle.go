package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v4"

	"github.com/hillfork/hillfork/internal/bundle"
	v1 "github.com/hillfork/hillfork/internal/gen/hillfork/v1"
)

// standardInput is the file argument that selects the standard input.
const standardInput = "-"

func (a *application) bundleCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("bundle", parent)
	propose := func(ctx context.Context, arguments []string) error { return a.proposeBundle(ctx, arguments[0]) }
	status := func(ctx context.Context, arguments []string) error { return a.bundleStatus(ctx, arguments[0]) }
	check := func(_ context.Context, arguments []string) error { return a.checkBundle(arguments[0]) }
	return group(flags, "check, propose, sign and show bundles",
		a.command(childFlags("check", flags), "hillfork bundle check FILE", "check a document without a node; - reads the standard input", []string{"FILE"}, check),
		a.command(childFlags("propose", flags), "hillfork bundle propose FILE", "put a document up for sign-off", []string{"FILE"}, propose),
		a.signCommand(flags),
		a.command(childFlags("status", flags), "hillfork bundle status DIGEST", "tell how a proposal stands", []string{"DIGEST"}, status),
		a.command(childFlags("history", flags), "hillfork bundle history", "list the proposals, newest first", nil, a.bundleHistory),
		a.showCommand(flags),
	)
}

// readDocument reads and decodes a bundle document. If the document is invalid, readDocument prints every problem with its
// line and returns an error with ExitFailed.
func (a *application) readDocument(path string) ([]byte, *bundle.Bundle, error) {
	document, err := a.readFile(path)
	if err != nil {
		return nil, nil, err
	}
	decoded, err := bundle.Decode(document)
	var invalid *bundle.Invalid
	if errors.As(err, &invalid) {
		for _, problem := range invalid.Problems {
			fmt.Fprintf(a.streams.Err, "%s: %s\n", path, problem)
		}
		return nil, nil, &exitError{code: ExitFailed, message: fmt.Sprintf("%s: %d problems", path, len(invalid.Problems))}
	}
	return document, decoded, err
}

func (a *application) readFile(path string) ([]byte, error) {
	if path == standardInput {
		return io.ReadAll(a.streams.In)
	}
	return os.ReadFile(path)
}

func (a *application) checkBundle(path string) error {
	_, decoded, err := a.readDocument(path)
	if err != nil {
		return err
	}
	result := &v1.ProposeBundleResponse{Digest: digestOf(decoded), Version: decoded.Version, Base: decoded.Base}
	return a.printProposal(result)
}

func digestOf(decoded *bundle.Bundle) string {
	return bundle.Digest(bundle.Canonical(decoded))
}

func (a *application) printProposal(result *v1.ProposeBundleResponse) error {
	shown := table{header: []string{"DIGEST", "VERSION", "BASE"}}
	shown.add(result.GetDigest(), result.GetVersion(), result.GetBase())
	return a.print(result, shown)
}

func (a *application) proposeBundle(ctx context.Context, path string) error {
	document, decoded, err := a.readDocument(path)
	if err != nil {
		return err
	}
	response, err := a.admin().ProposeBundle(ctx, connect.NewRequest(&v1.ProposeBundleRequest{Document: document}))
	if err != nil {
		return changeError(err)
	}
	if response.Msg.GetDigest() != digestOf(decoded) {
		return &exitError{code: ExitUnknown, message: "the node names another digest than this document has: " + response.Msg.GetDigest()}
	}
	return a.printProposal(response.Msg)
}

func (a *application) signCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("sign", parent)
	options := signOptions{}
	flags.StringVar(&options.partner, 0, "partner", "", "partner to sign for")
	flags.StringVar(&options.keyPath, 0, "key", "", "file of the private key, as made by keys new")
	flags.StringVar(&options.file, 0, "file", "", "document that was proposed")
	flags.StringVar(&options.digest, 0, "digest", "", "digest of a proposal whose document is taken from the node")
	sign := func(ctx context.Context, _ []string) error { return a.signBundle(ctx, options) }
	usage := "hillfork bundle sign --partner NAME --key FILE (--file FILE | --digest DIGEST)"
	command := a.command(flags, usage, "sign a proposal off", nil, sign)
	command.LongHelp = "What is signed is computed here from the document, never taken from the node's word.\n" +
		"A partner that rotates its key signs with the key that is in force."
	return command
}

type signOptions struct {
	partner string
	keyPath string
	file    string
	digest  string
}

func (a *application) signBundle(ctx context.Context, options signOptions) error {
	if options.partner == "" || options.keyPath == "" || (options.file == "") == (options.digest == "") {
		return usageError("--partner, --key and one of --file and --digest are needed")
	}
	content, err := os.ReadFile(options.keyPath)
	if err != nil {
		return err
	}
	key, err := bundle.ParsePrivateKey(content)
	if err != nil {
		return fmt.Errorf("%s: %w", options.keyPath, err)
	}
	decoded, err := a.documentToSign(ctx, options)
	if err != nil {
		return err
	}
	digest := digestOf(decoded)
	request := &v1.SignBundleRequest{
		Digest:    digest,
		Version:   decoded.Version,
		Base:      decoded.Base,
		Partner:   options.partner,
		Signature: bundle.Sign(key, digest, decoded.Version, decoded.Base),
	}
	response, err := a.admin().SignBundle(ctx, connect.NewRequest(request))
	if err != nil {
		return changeError(err)
	}
	return a.print(response.Msg, statusTable(response.Msg.GetStatus()))
}

// documentToSign reads the document from the file, or fetches it from the node and verifies that it has the requested
// digest.
func (a *application) documentToSign(ctx context.Context, options signOptions) (*bundle.Bundle, error) {
	if options.file != "" {
		_, decoded, err := a.readDocument(options.file)
		return decoded, err
	}
	response, err := a.getBundle(ctx, options.digest)
	if err != nil {
		return nil, err
	}
	decoded, err := bundle.DecodeCanonical(response.GetDocument())
	if err != nil {
		return nil, err
	}
	if digestOf(decoded) != options.digest {
		return nil, &exitError{code: ExitFailed, message: "the node sent a document with another digest; nothing was signed"}
	}
	return decoded, nil
}

func (a *application) getBundle(ctx context.Context, digest string) (*v1.GetBundleResponse, error) {
	response, err := a.admin().GetBundle(ctx, connect.NewRequest(&v1.GetBundleRequest{Digest: digest}))
	if err != nil {
		return nil, readError(err)
	}
	return response.Msg, nil
}

func (a *application) bundleStatus(ctx context.Context, digest string) error {
	response, err := a.getBundle(ctx, digest)
	if err != nil {
		return err
	}
	a.printFreshness(response.GetFreshness())
	return a.print(response.GetStatus(), statusTable(response.GetStatus()))
}

func (a *application) bundleHistory(ctx context.Context, _ []string) error {
	all := &v1.ListBundlesResponse{}
	request := func(page *v1.Page) *v1.ListBundlesRequest { return &v1.ListBundlesRequest{Page: page} }
	err := readPages(ctx, a.admin().ListBundles, request, func(page *v1.ListBundlesResponse) {
		all.Bundles = append(all.Bundles, page.GetBundles()...)
		all.Freshness = page.GetFreshness()
	})
	if err != nil {
		return err
	}
	a.printFreshness(all.GetFreshness())
	return a.print(all, statusTable(all.GetBundles()...))
}

func (a *application) showCommand(parent *ff.FlagSet) *ff.Command {
	flags := childFlags("show", parent)
	digest := flags.StringLong("digest", "", "digest of a proposal; left out, the bundle in force is shown")
	show := func(ctx context.Context, _ []string) error { return a.showBundle(ctx, *digest) }
	return a.command(flags, "hillfork bundle show [--digest DIGEST]", "print a bundle's document as JSON", nil, show)
}

// showBundle prints the document, on one line for JSON output and indented otherwise.
func (a *application) showBundle(ctx context.Context, digest string) error {
	response, err := a.getBundle(ctx, digest)
	if err != nil {
		return err
	}
	a.printFreshness(response.GetFreshness())
	if a.output == outputJSON {
		return a.printJSON(json.RawMessage(response.GetDocument()))
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, response.GetDocument(), "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.streams.Out, indented.String())
	return err
}

func statusTable(statuses ...*v1.BundleStatus) table {
	shown := table{header: []string{"DIGEST", "VERSION", "BASE", "STATE", "SIGNED BY", "MISSING"}}
	for _, status := range statuses {
		shown.add(status.GetDigest(), status.GetVersion(), status.GetBase(), stateText(status.GetState()),
			strings.Join(status.GetSignedBy(), ","), strings.Join(status.GetMissing(), ","))
	}
	return shown
}

// stateText returns a state as lower-case words: "in force" for BUNDLE_STATE_IN_FORCE.
func stateText(state v1.BundleState) string {
	text := strings.TrimPrefix(state.String(), "BUNDLE_STATE_")
	return strings.ToLower(strings.ReplaceAll(text, "_", " "))
}
