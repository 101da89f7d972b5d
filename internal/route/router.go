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

// Config configures a Router. Zero values are replaced by the defaults.
type Config struct {
	Caller peer.Caller
	Placer placement.Placer
	// InitialBackoff and MaxBackoff limit the jittered delay between attempts.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// MaxHints limits the hints followed in a row without a backoff.
	MaxHints int
	// RetryRate is the number of retries per second, first attempts not counted, that all calls of the Router may make
	// together. RetryBurst is how many of them may be made at once. Retries over the limit wait.
	RetryRate  float64
	RetryBurst int
	// CachedOwners limits the number of owners cached from hints.
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

// CallOwner calls the owner of key and fills response. It retries while ctx and policy allow: after temporary refusals that
// had no effect, after peer.ErrNotSent, and, if the policy declares the call idempotent, also after attempts that may have
// had effect.
//
// If no attempt can have had effect, the error is the last *peer.Error or wraps peer.ErrNotSent. If only the last attempt
// may have had effect and it was refused, the error is its *peer.Error, of CodeInternal or CodeUncertain. In all other
// cases it is an *UncertainError, which wraps peer.ErrLost.
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

// attempt makes one call, limited by timeout if that is positive.
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

// call is the state of one call across its attempts.
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
	// earlierMayHaveRun is the value of mayHaveRun before the last attempt.
	earlierMayHaveRun bool
	lastErr           error
	// changed is the placement's change channel, read before the lookup of the last attempt's owner so that no change is missed.
	changed <-chan struct{}
}

func (r *Router) newCall(key string, preference placement.Preference, method string, policy Policy) *call {
	exponential := backoff.NewExponentialBackOff()
	exponential.InitialInterval = r.config.InitialBackoff
	exponential.MaxInterval = r.config.MaxBackoff
	exponential.Multiplier = backoffMultiplier
	exponential.RandomizationFactor = backoffJitter
	exponential.Reset()
	return &call{router: r, key: key, preference: preference, method: method, policy: policy, backoff: exponential}
}

// begin starts an attempt and returns the address to call: the pending hint, else the cached owner, else the owner by placement.
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

// succeeded caches the owner if placement returns another one.
func (c *call) succeeded(address string) {
	member, found := c.router.config.Placer.Owner(c.key, c.preference)
	if found && member.PeerAddress == address {
		c.router.owners.remove(c.key, "")
		return
	}
	c.router.owners.put(c.key, address)
}

// prepareRetry records a failed attempt, waits for the backoff if there is a retry, and reports whether to make another attempt.
func (c *call) prepareRetry(ctx context.Context, address string, err error) bool {
	next := decide(err, c.policy.Idempotent)
	c.lastErr = err
	c.earlierMayHaveRun = c.mayHaveRun
	c.mayHaveRun = c.mayHaveRun || next.mayHaveRun
	if next.evictOwner && address != "" {
		c.router.owners.remove(c.key, address)
	}
	if next.action == actionFail || ctx.Err() != nil {
		return false
	}
	if c.policy.MaxAttempts > 0 && c.attempts >= c.policy.MaxAttempts {
		return false
	}
	if next.action == actionFollow && next.hint != address && c.hintsFollowed < c.router.config.MaxHints {
		return c.follow(ctx, next.hint)
	}
	if c.policy.FollowOnly {
		return false
	}
	c.hintsFollowed = 0
	return c.waitForRetry(ctx, address, next)
}

// follow sets the hinted owner as the next address. The first hint of a call does not use the retry budget, since a redirect
// is part of finding the owner.
func (c *call) follow(ctx context.Context, hint string) bool {
	c.hintsFollowed++
	c.nextHint = hint
	if c.hintsFollowed == 1 && c.attempts == 1 {
		return true
	}
	return c.router.budget.Wait(ctx) == nil
}

// waitForRetry waits for the backoff, and then for the retry budget. A new owner of the key ends the backoff unless the peer
// set a delay. waitForRetry returns false without waiting if the deadline of ctx is before the end of the backoff.
func (c *call) waitForRetry(ctx context.Context, failedAddress string, next decision) bool {
	wait, ok := c.nextWait(ctx, next.wait)
	if !ok {
		return false
	}
	changed := c.changed
	if !next.evictOwner || next.wait > 0 {
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
			waiting = !c.movedFrom(failedAddress)
		}
	}
	return c.router.budget.Wait(ctx) == nil
}

// nextWait returns the delay before the next attempt. It is at least minWait, the delay that the peer set. If the peer set none,
// it is at most half of the time until the deadline, so that the attempt has time left. The result is false if the deadline
// would pass first.
func (c *call) nextWait(ctx context.Context, minWait time.Duration) (time.Duration, bool) {
	wait := c.backoff.NextBackOff()
	if minWait > 0 {
		wait = max(wait, addJitter(minWait))
	}
	deadline, limited := ctx.Deadline()
	if !limited {
		return wait, true
	}
	remaining := time.Until(deadline)
	if minWait == 0 && remaining > c.router.config.InitialBackoff {
		wait = min(wait, remaining/2)
	}
	return wait, wait < remaining
}

// movedFrom reports whether placement returns an owner at another address than the one that failed.
func (c *call) movedFrom(failedAddress string) bool {
	member, found := c.router.config.Placer.Owner(c.key, c.preference)
	return found && member.PeerAddress != failedAddress
}

// result returns the error of the call after its last attempt.
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

// addJitter returns a duration between wait and a quarter more, so that callers with the same retry delay do not retry at the same time.
func addJitter(wait time.Duration) time.Duration {
	const jitterShare = 4
	return wait + rand.N(wait/jitterShare+1)
}
