package route

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/placement"
)

// Defaults of Config.
const (
	DefaultInitialBackoff = 50 * time.Millisecond
	DefaultMaxBackoff     = 2 * time.Second
	DefaultMaxHints       = 3
	DefaultRetryRate      = 50
	DefaultRetryBurst     = 100
	DefaultCachedOwners   = 4096
)

const (
	backoffMultiplier = 2
	backoffJitter     = 0.5
)

// Config sets up a Router. Zero values take the defaults.
type Config struct {
	Caller peer.Caller
	Placer placement.Placer
	// InitialBackoff and MaxBackoff bound the jittered pause between attempts.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxHints bounds the hints followed in a row without a pause.
	MaxHints int
	// RetryRate is how many attempts a second, first attempts aside, all calls of the Router may make together;
	// RetryBurst is how many at once. Retries beyond it wait.
	RetryRate  float64
	RetryBurst int
	// CachedOwners bounds the owners remembered from hints.
	CachedOwners int
}

// Router calls owners of keys. It is safe for concurrent use.
type Router struct {
	config Config
	owners *ownerCache
	budget *rate.Limiter
}

// New returns a Router over config.Caller and config.Placer.
func New(config Config) *Router {
	if config.InitialBackoff <= 0 {
		config.InitialBackoff = DefaultInitialBackoff
	}
	if config.MaxBackoff <= 0 {
		config.MaxBackoff = DefaultMaxBackoff
	}
	if config.MaxHints <= 0 {
		config.MaxHints = DefaultMaxHints
	}
	if config.RetryRate <= 0 {
		config.RetryRate = DefaultRetryRate
	}
	if config.RetryBurst <= 0 {
		config.RetryBurst = DefaultRetryBurst
	}
	if config.CachedOwners <= 0 {
		config.CachedOwners = DefaultCachedOwners
	}
	return &Router{
		config: config,
		owners: newOwnerCache(config.CachedOwners),
		budget: rate.NewLimiter(rate.Limit(config.RetryRate), config.RetryBurst),
	}
}

// CallOwner calls the owner of key and fills response. It retries while ctx and policy allow: after refusals that had no
// effect and are bound to pass, after peer.ErrNotSent, and where the policy says that the call is idempotent also after
// attempts that may have had effect.
//
// The error is the last *peer.Error, or wraps peer.ErrNotSent, when no attempt can have had effect; the last *peer.Error
// of CodeInternal or CodeUncertain when only that one may; and else an *UncertainError, which wraps peer.ErrLost.
func (r *Router) CallOwner(
	ctx context.Context,
	key string,
	preference placement.Preference,
	method string,
	request, response peer.Message,
	policy Policy,
) error {
	call := r.newCall(key, preference, method, policy)
	for {
		address, err := call.begin(ctx)
		if err == nil {
			err = r.attempt(ctx, address, method, request, response, policy.AttemptTimeout)
		}
		if err == nil {
			call.succeeded(address)
			return nil
		}
		if !call.prepareRetry(ctx, address, err) {
			return call.result(ctx)
		}
	}
}

// attempt makes one call, bounded by timeout where that is positive.
func (r *Router) attempt(
	ctx context.Context,
	address, method string,
	request, response peer.Message,
	timeout time.Duration,
) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return r.config.Caller.Call(ctx, address, method, request, response)
}

// call is the state of one call over its attempts.
type call struct {
	router     *Router
	key        string
	preference placement.Preference
	method     string
	policy     Policy
	backoff    *backoff.ExponentialBackOff

	attempts      int
	hintsFollowed int
	nextHint      string
	mayHaveRun    bool
	// earlierMayHaveRun is mayHaveRun as of before the last attempt.
	earlierMayHaveRun bool
	lastErr           error
	// changed was taken before the owner of the last attempt was looked up.
	changed <-chan struct{}
}

func (r *Router) newCall(key string, preference placement.Preference, method string, policy Policy) *call {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = r.config.InitialBackoff
	pauses.MaxInterval = r.config.MaxBackoff
	pauses.Multiplier = backoffMultiplier
	pauses.RandomizationFactor = backoffJitter
	pauses.Reset()
	return &call{router: r, key: key, preference: preference, method: method, policy: policy, backoff: pauses}
}

// begin starts an attempt and returns the address to call.
func (c *call) begin(ctx context.Context) (string, error) {
	c.attempts++
	c.changed = c.router.config.Placer.Changed()
	if err := ctx.Err(); err != nil {
		return "", fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	if c.nextHint != "" {
		address := c.nextHint
		c.nextHint = ""
		return address, nil
	}
	if address, known := c.router.owners.get(c.key); known {
		return address, nil
	}
	member, found := c.router.config.Placer.Owner(c.key, c.preference)
	if !found {
		return "", fmt.Errorf("%w: %w", peer.ErrNotSent, ErrNoOwner)
	}
	return member.PeerAddress, nil
}

// succeeded remembers the owner where placement would name another.
func (c *call) succeeded(address string) {
	member, found := c.router.config.Placer.Owner(c.key, c.preference)
	if found && member.PeerAddress == address {
		c.router.owners.remove(c.key, "")
		return
	}
	c.router.owners.put(c.key, address)
}

// prepareRetry takes in a failed attempt, waits as long as it must, and tells whether to try once more.
func (c *call) prepareRetry(ctx context.Context, address string, err error) bool {
	outcome := decide(err, c.policy.Idempotent)
	c.lastErr = err
	c.earlierMayHaveRun = c.mayHaveRun
	c.mayHaveRun = c.mayHaveRun || outcome.mayHaveRun
	if outcome.evictOwner && address != "" {
		c.router.owners.remove(c.key, address)
	}
	if outcome.action == actionFail || ctx.Err() != nil {
		return false
	}
	if c.policy.MaxAttempts > 0 && c.attempts >= c.policy.MaxAttempts {
		return false
	}
	if outcome.action == actionFollow && outcome.hint != address && c.hintsFollowed < c.router.config.MaxHints {
		return c.follow(ctx, outcome.hint)
	}
	if c.policy.FollowOnly {
		return false
	}
	c.hintsFollowed = 0
	return c.waitForRetry(ctx, address, outcome)
}

// follow goes on to the hinted owner at once. The first hint of a call is free of the retry budget, since a redirect is
// part of finding the owner.
func (c *call) follow(ctx context.Context, hint string) bool {
	c.hintsFollowed++
	c.nextHint = hint
	if c.hintsFollowed == 1 && c.attempts == 1 {
		return true
	}
	return c.router.budget.Wait(ctx) == nil
}

// waitForRetry waits for the backoff, and then for the retry budget. A new owner of the key ends the backoff, unless the peer
// has told when to come back. waitForRetry does not wait when the context would end first.
func (c *call) waitForRetry(ctx context.Context, failed string, outcome decision) bool {
	wait, worthwhile := c.nextWait(ctx, outcome.wait)
	if !worthwhile {
		return false
	}
	changed := c.changed
	if !outcome.evictOwner || outcome.wait > 0 {
		changed = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; waiting; {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			waiting = false
		case <-changed:
			changed = c.router.config.Placer.Changed()
			waiting = !c.movedFrom(failed)
		}
	}
	return c.router.budget.Wait(ctx) == nil
}

// nextWait returns the next pause: at least told, and otherwise no more than half of the time left, so that some is left
// for the attempt. The result is false when there is too little time.
func (c *call) nextWait(ctx context.Context, told time.Duration) (time.Duration, bool) {
	wait := c.backoff.NextBackOff()
	if told > 0 {
		wait = max(wait, addJitter(told))
	}
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return wait, true
	}
	left := time.Until(deadline)
	if told == 0 && left > c.router.config.InitialBackoff {
		wait = min(wait, left/2)
	}
	return wait, wait < left
}

// movedFrom tells whether placement names an owner at another address than the one that failed.
func (c *call) movedFrom(failed string) bool {
	member, found := c.router.config.Placer.Owner(c.key, c.preference)
	return found && member.PeerAddress != failed
}

// result is the error of the whole call.
func (c *call) result(ctx context.Context) error {
	last := c.lastErr
	if err := ctx.Err(); err != nil && !errors.Is(last, err) {
		last = fmt.Errorf("%w (%w)", last, err)
	}
	var refusal *peer.Error
	if c.earlierMayHaveRun || (c.mayHaveRun && !errors.As(c.lastErr, &refusal)) {
		return &UncertainError{Method: c.method, Key: c.key, Attempts: c.attempts, Last: last}
	}
	return last
}

// addJitter returns a duration between wait and a quarter more, so that those told to come back do not come together.
func addJitter(wait time.Duration) time.Duration {
	const jitterShare = 4
	return wait + rand.N(wait/jitterShare+1)
}
