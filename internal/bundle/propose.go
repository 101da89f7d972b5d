package bundle

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hillfork/hillfork/internal/errorlog"
	"github.com/hillfork/hillfork/internal/pause"
	"github.com/hillfork/hillfork/internal/platform"
	"github.com/samber/oops"
)

// Errors of the operators' calls. A call that returns any error but ErrUncertain had no effect.
var (
	// ErrConflict means that the base is not, or no longer, the version in force. The error is a *ConflictError.
	ErrConflict = errors.New("bundle conflicts with the version in force")
	// ErrUnknownProposal means that no proposal with the digest is known.
	ErrUnknownProposal = errors.New("proposal is unknown")
	// ErrUnknownKey means that the partner does not have to sign, or that the key is not valid for the partner.
	ErrUnknownKey = errors.New("key does not sign for the partner")
	// ErrBadSignature means that no known key verifies the signature of (digest, version, base).
	ErrBadSignature = errors.New("signature does not verify")
	// ErrUncertain means that the log could not be read in time to determine whether the record took effect.
	ErrUncertain = errors.New("record may or may not have taken effect")
	// ErrUnavailable means that the log could not be reached in time and nothing was written.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrBadPage means that the page token is not one that List returned.
	ErrBadPage = errors.New("page token is not valid")
)

const (
	// callTimeout limits an operator's call whose context has no earlier deadline.
	callTimeout = 30 * time.Second
	// maxPageSize limits the size of a page of List; it is also the default size.
	maxPageSize = 100
)

// ConflictError is the error for a proposal that cannot be accepted because of its base.
type ConflictError struct {
	// Proposal is the proposal, as far as it is recorded.
	Proposal Status
	// InForce is the version in force, 0 if there is none, and Digest its digest.
	InForce uint64
	Digest  string
}

// Error names the base of the proposal and the version in force.
func (e *ConflictError) Error() string {
	if e.InForce == 0 {
		return fmt.Sprintf("%v: base is %d, no bundle is in force", ErrConflict, e.Proposal.Base)
	}
	return fmt.Sprintf("%v: base is %d, version %d is in force as %s", ErrConflict, e.Proposal.Base, e.InForce, e.Digest)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// ProposeResult identifies a recorded proposal.
type ProposeResult struct {
	Digest  string
	Version uint64
	Base    uint64
}

// Propose proposes a document for sign-off and returns once the proposal is visible in the stream. Proposing the same
// content again does not create a second proposal. Errors: *Invalid, ErrConflict, ErrUncertain, ErrUnavailable.
func (f *Follower) Propose(ctx context.Context, document []byte) (ProposeResult, error) {
	decoded, err := Decode(document)
	if err != nil {
		return ProposeResult{}, err
	}
	canonical := Canonical(decoded)
	if _, err := DecodeCanonical(canonical); err != nil {
		return ProposeResult{}, err
	}
	result := ProposeResult{Digest: Digest(canonical), Version: decoded.Version, Base: decoded.Base}
	payload, err := encodeRecord(kindProposal, &Proposal{Canonical: canonical})
	if err != nil {
		return ProposeResult{}, err
	}
	outcome := func(fold *Fold) (bool, error) {
		return proposalOutcome(fold, result)
	}
	if err := f.appendUntilVisible(ctx, payload, outcome); err != nil {
		return ProposeResult{}, err
	}
	return result, nil
}

// proposalOutcome reports whether a proposal is recorded, or returns an error if it can no longer be.
func proposalOutcome(fold *Fold, proposal ProposeResult) (bool, error) {
	status, found := fold.Status(proposal.Digest)
	if found && status.State != StateConflicted {
		return true, nil
	}
	if proposal.Base == fold.Version() {
		return false, nil
	}
	if !found {
		status = Status{Digest: proposal.Digest, Version: proposal.Version, Base: proposal.Base, State: StateConflicted}
	}
	return false, conflictOf(fold, status)
}

func conflictOf(fold *Fold, status Status) error {
	conflict := &ConflictError{Proposal: status, InForce: fold.Version()}
	if current := fold.Current(); current != nil {
		conflict.Digest = current.Digest
	}
	return conflict
}

// SignOff records a partner's signature of a proposal and returns the proposal's status once the signature is visible
// in the stream. Recording the same signature again changes nothing. Errors: ErrUnknownProposal, ErrConflict,
// ErrUnknownKey, ErrBadSignature, ErrUncertain, ErrUnavailable.
func (f *Follower) SignOff(ctx context.Context, signOff SignOff) (Status, error) {
	payload, err := encodeRecord(kindSignOff, &signOff)
	if err != nil {
		return Status{}, err
	}
	var status Status
	outcome := func(fold *Fold) (bool, error) {
		var done bool
		var err error
		status, done, err = signOffOutcome(fold, signOff)
		return done, err
	}
	if err := f.appendUntilVisible(ctx, payload, outcome); err != nil {
		return Status{}, err
	}
	return status, nil
}

// signOffOutcome reports whether a signature is recorded, or returns an error if it can no longer be.
func signOffOutcome(fold *Fold, signOff SignOff) (Status, bool, error) {
	status, found := fold.Status(signOff.Digest)
	if !found {
		return Status{}, false, oops.With("digest", signOff.Digest).Wrap(ErrUnknownProposal)
	}
	if status.Version != signOff.Version || status.Base != signOff.Base {
		return status, false, oops.Wrapf(ErrBadSignature, "the proposal has version %d and base %d", status.Version, status.Base)
	}
	if status.State == StateConflicted {
		return status, false, conflictOf(fold, status)
	}
	if slices.Contains(status.SignedBy, signOff.Partner) {
		return status, true, nil
	}
	if status.State != StateProposed {
		return status, false, oops.Wrapf(ErrUnknownKey, "partner %q did not have to sign", signOff.Partner)
	}
	return status, false, checkSignOff(fold, signOff)
}

// checkSignOff returns the reason why a signature of an open proposal is not valid, nil if it is.
func checkSignOff(fold *Fold, signOff SignOff) error {
	proposal := fold.proposals[signOff.Digest]
	if !proposal.isMissing(signOff.Partner) {
		return oops.Wrapf(ErrUnknownKey, "partner %q does not have to sign", signOff.Partner)
	}
	if fold.signatureValid(proposal, signOff) {
		return nil
	}
	if fold.signedByOtherKey(proposal, signOff) {
		return oops.Wrapf(ErrUnknownKey, "the signature is by a key that is not in force for partner %q", signOff.Partner)
	}
	return oops.Wrap(ErrBadSignature)
}

// signedByOtherKey reports whether a signature was made with a known key that is not valid for the partner.
func (f *Fold) signedByOtherKey(proposal *proposalState, signOff SignOff) bool {
	decoded, err := DecodeCanonical(proposal.Canonical)
	if err != nil {
		return false
	}
	for _, known := range append(f.retiredKeys(), f.keysInForce(), keysOf(decoded)) {
		for _, keys := range known {
			if verifyAny(keys, signOff.Digest, signOff.Version, signOff.Base, signOff.Signature) {
				return true
			}
		}
	}
	return false
}

// retiredKeys returns the trusted keys and the keys of the bundles that changed partners or keys.
func (f *Fold) retiredKeys() []TrustedKeys {
	retired := []TrustedKeys{f.trusted}
	for _, link := range f.links {
		if decoded, err := DecodeCanonical(link.Canonical); err == nil {
			retired = append(retired, keysOf(decoded))
		}
	}
	return retired
}

// appendUntilVisible appends a record until its effect is visible in the stream. outcome is called with mu held and the
// fold up to the tail. It reports whether the effect is visible, or returns an error if it can no longer occur. If the
// response to an append is lost, the stream is read to determine whether the record was written. The record may be
// appended again, because a repeated record changes nothing.
func (f *Follower) appendUntilVisible(ctx context.Context, payload []byte, outcome func(*Fold) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	retry := backoff.ExponentialBackOff{
		InitialInterval:     minRetryDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         maxRetryDelay,
	}
	maybeWritten, written := false, false
	for {
		done, failure, readError := f.checkOutcome(ctx, outcome)
		if readError == nil && (done || failure != nil) {
			return failure
		}
		var appendError error
		if readError == nil {
			appendError = f.append(ctx, payload)
			maybeWritten = maybeWritten || !errors.Is(appendError, platform.ErrNotSent)
		}
		if readError == nil && appendError == nil && !written {
			written = true
			continue
		}
		errorlog.Warn(f.logger, "bundle record is not confirmed in the stream yet", errors.Join(readError, appendError))
		pause.For(ctx, retry.NextBackOff())
		if ctx.Err() != nil {
			return timeoutError(maybeWritten, errors.Join(readError, appendError))
		}
	}
}

// timeoutError returns the error for a call that timed out: ErrUncertain if the record may have been written, else
// ErrUnavailable.
func timeoutError(maybeWritten bool, cause error) error {
	if maybeWritten {
		return oops.With("cause", cause).Wrapf(ErrUncertain, "%v", cause)
	}
	return oops.With("cause", cause).Wrapf(ErrUnavailable, "%v", cause)
}

// checkOutcome folds the stream up to its tail and calls outcome. failure is the error of outcome, readError that of
// the reads.
func (f *Follower) checkOutcome(ctx context.Context, outcome func(*Fold) (bool, error)) (done bool, failure, readError error) {
	if err := f.catchUp(ctx); err != nil {
		return false, nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	done, failure = outcome(f.fold)
	return done, failure, nil
}

func (f *Follower) append(ctx context.Context, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err := f.config.Log.Append(ctx, Stream, [][]byte{payload})
	return oops.Wrapf(err, "append to log")
}

// Status returns the status of a proposal as known on this node, or ErrUnknownProposal.
func (f *Follower) Status(digest string) (Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.learned != nil && f.learned.Digest == digest {
		return f.learned.status(), nil
	}
	status, found := f.fold.Status(digest)
	if !found {
		return Status{}, oops.With("digest", digest).Wrap(ErrUnknownProposal)
	}
	return f.withLearned(status), nil
}

// withLearned returns a status of the fold, with a bundle in force reported as superseded if a newer one was learned
// from a peer. The caller must hold mu.
func (f *Follower) withLearned(status Status) Status {
	if f.learned != nil && status.State == StateInForce {
		status.State = StateSuperseded
	}
	return status
}

// Document returns the canonical form of a proposal that is still kept: the bundle in force, all open proposals and up
// to MaxEndedDocuments of the newest ended ones.
func (f *Follower) Document(digest string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && f.current.Digest == digest {
		return f.current.Canonical, nil
	}
	proposal := f.fold.proposals[digest]
	if proposal == nil || proposal.Canonical == nil {
		return nil, oops.With("digest", digest).Wrap(ErrUnknownProposal)
	}
	return proposal.Canonical, nil
}

// Page selects a page of a list.
type Page struct {
	// Size limits the items; 0 or a value above 100 selects 100.
	Size int
	// Token is empty for the first page, else the token that the previous call of List returned.
	Token string
}

// List returns the proposals that are still kept, newest first, and the token of the next page, empty at the end. A
// bundle that was learned from a peer is listed once the fold has reached it.
func (f *Follower) List(page Page) ([]Status, string, error) {
	before := int64(math.MaxInt64)
	if page.Token != "" {
		parsed, err := strconv.ParseInt(page.Token, 10, 64)
		if err != nil || parsed <= 0 {
			return nil, "", oops.With("token", page.Token).Wrap(ErrBadPage)
		}
		before = parsed
	}
	size := page.Size
	if size <= 0 || size > maxPageSize {
		size = maxPageSize
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	list, next := f.fold.list(before, size)
	for i := range list {
		list[i] = f.withLearned(list[i])
	}
	if next == 0 {
		return list, "", nil
	}
	return list, strconv.FormatInt(next, 10), nil
}
