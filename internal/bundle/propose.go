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

// Errors of operators' calls. Unless an error is ErrUncertain, the call is known to have had no effect.
var (
	// ErrConflict says that the base is not, or no longer, the version in force. The error is a *ConflictError.
	ErrConflict = errors.New("bundle conflicts with the version in force")
	// ErrUnknownProposal says that no proposal with the digest is known.
	ErrUnknownProposal = errors.New("proposal is unknown")
	// ErrUnknownKey says that the signer does not sign for the partner: the partner need not sign, or the key is not one
	// that counts for it.
	ErrUnknownKey = errors.New("key does not sign for the partner")
	// ErrBadSignature says that the signature is not one of (digest, version, base) by any known key.
	ErrBadSignature = errors.New("signature does not verify")
	// ErrUncertain says that the log could not be asked in time whether the record took effect.
	ErrUncertain = errors.New("record may or may not have taken effect")
	// ErrUnavailable says that the log could not be reached in time and nothing was written.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrBadPage says that a page token is not one that List returned.
	ErrBadPage = errors.New("page token is not valid")
)

const (
	// settleTimeout bounds a call of an operator whose context has no earlier deadline.
	settleTimeout = 30 * time.Second
	// maxPageSize bounds a page of List; it is also the size where none is given.
	maxPageSize = 100
)

// ConflictError tells why a proposal cannot be accepted.
type ConflictError struct {
	// Proposal is the proposal, as far as it was recorded.
	Proposal Status
	// InForce is the version in force, 0 for none, and Digest its digest.
	InForce uint64
	Digest  string
}

// Error tells which version is in force.
func (e *ConflictError) Error() string {
	if e.InForce == 0 {
		return fmt.Sprintf("%v: base is %d, no bundle is in force", ErrConflict, e.Proposal.Base)
	}
	return fmt.Sprintf("%v: base is %d, version %d is in force as %s", ErrConflict, e.Proposal.Base, e.InForce, e.Digest)
}

// Is makes the error an ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// ProposeResult names a proposal that was recorded.
type ProposeResult struct {
	Digest  string
	Version uint64
	Base    uint64
}

// Propose puts a document up for sign-off and returns once the stream shows it. Proposing the same content again is no
// second proposal. Errors: *Invalid, ErrConflict, ErrUncertain, ErrUnavailable.
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
	settled := func(fold *Fold) (bool, error) {
		return proposalSettled(fold, result)
	}
	if err := f.settle(ctx, payload, settled); err != nil {
		return ProposeResult{}, err
	}
	return result, nil
}

// proposalSettled tells whether a proposal is recorded, or why it never will be.
func proposalSettled(fold *Fold, proposal ProposeResult) (bool, error) {
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

// SignOff records a partner's signature of a proposal and returns the proposal's state once the stream shows it.
// Signing the same again changes nothing. Errors: ErrUnknownProposal, ErrConflict, ErrUnknownKey, ErrBadSignature,
// ErrUncertain, ErrUnavailable.
func (f *Follower) SignOff(ctx context.Context, signOff SignOff) (Status, error) {
	payload, err := encodeRecord(kindSignOff, &signOff)
	if err != nil {
		return Status{}, err
	}
	var status Status
	settled := func(fold *Fold) (bool, error) {
		var done bool
		var err error
		status, done, err = signOffSettled(fold, signOff)
		return done, err
	}
	if err := f.settle(ctx, payload, settled); err != nil {
		return Status{}, err
	}
	return status, nil
}

// signOffSettled tells whether a signature is recorded, or why it never will be.
func signOffSettled(fold *Fold, signOff SignOff) (Status, bool, error) {
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

// checkSignOff tells why a signature of an open proposal does not count, nil if it does.
func checkSignOff(fold *Fold, signOff SignOff) error {
	proposal := fold.proposals[signOff.Digest]
	if !proposal.misses(signOff.Partner) {
		return oops.Wrapf(ErrUnknownKey, "partner %q does not have to sign", signOff.Partner)
	}
	if fold.signatureCounts(proposal, signOff) {
		return nil
	}
	if fold.signedByOtherKey(proposal, signOff) {
		return oops.Wrapf(ErrUnknownKey, "the signature is by a key that is not in force for partner %q", signOff.Partner)
	}
	return oops.Wrap(ErrBadSignature)
}

// signedByOtherKey tells whether a signature was made by a key that is known, but does not count for the partner.
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

// retiredKeys are those of the bundles that changed partners or keys.
func (f *Fold) retiredKeys() []TrustedKeys {
	retired := []TrustedKeys{f.trusted}
	for _, link := range f.links {
		if decoded, err := DecodeCanonical(link.Canonical); err == nil {
			retired = append(retired, keysOf(decoded))
		}
	}
	return retired
}

// settle writes a record until the stream shows its effect. settled is asked, under the lock, with the fold up to the
// tail: it tells whether the effect is there, or an error that says why it never will be. A lost answer to an append is
// settled by reading; the record may be appended again, for its repeat changes nothing.
func (f *Follower) settle(ctx context.Context, payload []byte, settled func(*Fold) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	retry := backoff.ExponentialBackOff{
		InitialInterval:     retryFirst,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          backoff.DefaultMultiplier,
		MaxInterval:         retryMost,
	}
	maybeWritten, written := false, false
	for {
		done, failure, readError := f.askSettled(ctx, settled)
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
		errorlog.Warn(f.logger, "bundle record not settled yet", errors.Join(readError, appendError))
		pause.For(ctx, retry.NextBackOff())
		if ctx.Err() != nil {
			return unsettled(maybeWritten, errors.Join(readError, appendError))
		}
	}
}

func unsettled(maybeWritten bool, cause error) error {
	if maybeWritten {
		return oops.With("cause", cause).Wrapf(ErrUncertain, "%v", cause)
	}
	return oops.With("cause", cause).Wrapf(ErrUnavailable, "%v", cause)
}

func (f *Follower) askSettled(ctx context.Context, settled func(*Fold) (bool, error)) (done bool, failure, readError error) {
	if err := f.catchUp(ctx); err != nil {
		return false, nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	done, failure = settled(f.fold)
	return done, failure, nil
}

func (f *Follower) append(ctx context.Context, payload []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, err := f.config.Log.Append(ctx, Stream, [][]byte{payload})
	return oops.Wrapf(err, "append to log")
}

// Status tells how a proposal stands as far as is known here; ErrUnknownProposal where it is not.
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

// withLearned corrects a status of the fold by what was learned from a peer. It is called with the lock held.
func (f *Follower) withLearned(status Status) Status {
	if f.learned != nil && status.State == StateInForce {
		status.State = StateSuperseded
	}
	return status
}

// Document returns the canonical form of a proposal that is still kept: the bundle in force, every open proposal and
// the newest MaxEndedDocuments ended ones.
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

// Page asks for a part of a list.
type Page struct {
	// Size bounds the items; 0 or more than 100 gives 100.
	Size int
	// Token is empty for the first page, and else what the page before returned.
	Token string
}

// List returns proposals that are still kept, newest first, and the token of the next page, empty at the end. A bundle
// learned from a peer is listed once the log has been read as far.
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
