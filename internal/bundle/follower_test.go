package bundle

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/platform"
	"github.com/matryer/is"
)

// proposeAndSign proposes a bundle and signs it for partners whose test keys have the partner's name.
func proposeAndSign(t *testing.T, follower *Follower, b *Bundle, partners ...string) {
	t.Helper()
	is := is.New(t)
	_, err := follower.Propose(t.Context(), Canonical(b))
	is.NoErr(err)
	for _, partner := range partners {
		_, err := follower.SignOff(t.Context(), signOff(b, partner, partner))
		is.NoErr(err)
	}
}

func TestBundleComesIntoForceOnEveryFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemoryLog()
		writer, reader := follow(t, log, testTrusted("ann", "bob")), follow(t, log, testTrusted("ann", "bob"))
		changed := reader.Changed()
		first := testBundle(1, 0.5, "ann", "bob")

		_, err := writer.Propose(t.Context(), Canonical(first))
		is.NoErr(err)
		status, err := writer.SignOff(t.Context(), signOff(first, "ann", "ann"))
		is.NoErr(err)
		is.Equal(status.Missing, []string{"bob"})
		synctest.Wait()
		is.True(reader.Current() == nil) // not in force while a signature is missing

		status, err = writer.SignOff(t.Context(), signOff(first, "bob", "bob"))
		is.NoErr(err)
		is.Equal(status.State, StateInForce)
		<-changed
		is.Equal(reader.Current().Digest, digestOf(first))
	})
}

// An append whose response is lost may or may not have taken effect. The caller must read the stream to determine it.
func TestLostAppendResponseIsResolvedByReading(t *testing.T) {
	faults := map[string]func(n int) (bool, error){
		"after effect":  func(n int) (bool, error) { return true, lostIf(n == 1) },
		"before effect": func(n int) (bool, error) { return n != 1, lostIf(n == 1) },
		"both":          func(n int) (bool, error) { return n > 1, lostIf(n <= 2) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := newMemoryLog()
				follower := follow(t, log, testTrusted("ann"))
				first := testBundle(1, 0.5, "ann")
				log.appendFault = fault
				_, err := follower.Propose(t.Context(), Canonical(first))
				is.NoErr(err)
				log.appends = 0
				status, err := follower.SignOff(t.Context(), signOff(first, "ann", "ann"))
				is.NoErr(err)
				is.Equal(status.State, StateInForce)
				is.Equal(len(log.streams[Stream]), 2) // nothing was written twice
			})
		})
	}
}

func lostIf(lost bool) error {
	if lost {
		return errLost
	}
	return nil
}

// A call must return ErrUnavailable only if nothing was sent, and ErrUncertain if the record may have been written.
func TestUnreachableLogIsUnavailableOrUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemoryLog()
		follower := follow(t, log, testTrusted("ann"))
		synctest.Wait()
		log.setDown(true)
		_, err := follower.Propose(t.Context(), Canonical(testBundle(1, 0.5, "ann")))
		is.True(errors.Is(err, ErrUnavailable)) // nothing was sent

		log.setDown(false)
		log.appendFault = func(int) (bool, error) { return false, errLost }
		_, err = follower.Propose(t.Context(), Canonical(testBundle(1, 0.5, "ann")))
		is.True(errors.Is(err, ErrUncertain))

		log.appendFault = func(int) (bool, error) { return false, nil }
		log.appends = 0
		_, err = follower.Propose(t.Context(), Canonical(testBundle(1, 0.5, "ann")))
		is.True(errors.Is(err, ErrUncertain)) // the append is acknowledged but the record never appears in the stream
		is.True(log.appends < 30)
	})
}

func TestRejectedCallsReturnTheirCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemoryLog()
		follower := follow(t, log, testTrusted("ann", "bob"))
		winner, loser := testBundle(1, 0.5, "ann", "bob"), testBundle(1, 0.6, "ann", "bob")
		for _, b := range []*Bundle{winner, loser} {
			_, err := follower.Propose(t.Context(), Canonical(b))
			is.NoErr(err)
		}
		_, err := follower.SignOff(t.Context(), signOff(winner, "ann", "bob"))
		is.True(errors.Is(err, ErrUnknownKey)) // another partner's key
		_, err = follower.SignOff(t.Context(), signOff(winner, "ann", "eve"))
		is.True(errors.Is(err, ErrBadSignature))
		_, err = follower.SignOff(t.Context(), signOff(winner, "eve", "eve"))
		is.True(errors.Is(err, ErrUnknownKey))
		_, err = follower.SignOff(t.Context(), signOff(testBundle(1, 0.7, "ann", "bob"), "ann", "ann"))
		is.True(errors.Is(err, ErrUnknownProposal))

		proposeAndSign(t, follower, winner, "ann", "bob")
		var conflict *ConflictError
		_, err = follower.SignOff(t.Context(), signOff(loser, "ann", "ann"))
		is.True(errors.As(err, &conflict) && errors.Is(err, ErrConflict))
		is.Equal(conflict.Digest, digestOf(winner)) // names the accepted bundle
		_, err = follower.Propose(t.Context(), Canonical(loser))
		is.True(errors.Is(err, ErrConflict))
		is.Equal(len(log.streams[Stream]), 4) // rejected calls wrote nothing
		page, token, err := follower.List(Page{Size: 1})
		is.NoErr(err)
		is.Equal(page[0].State, StateConflicted)
		page, token, err = follower.List(Page{Size: 1, Token: token})
		is.NoErr(err)
		is.Equal(page[0].Digest, digestOf(winner))
		is.Equal(token, "")
	})
}

func TestConfirmSharesReadsStartedAfterCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemoryLog()
		follower := NewFollower(FollowerConfig{Log: log, Trusted: testTrusted("ann")})
		_, err := follower.Confirm(t.Context())
		is.NoErr(err)
		before := log.readCount()
		log.readGate = make(chan struct{})
		confirmed := make(chan *Accepted, 11)
		confirm := func() {
			accepted, err := follower.Confirm(t.Context())
			is.NoErr(err)
			confirmed <- accepted
		}
		go confirm()
		synctest.Wait() // the read of the first call is blocked
		for range 10 {
			go confirm()
		}
		synctest.Wait()
		log.readGate <- struct{}{}
		is.True(<-confirmed == nil)
		synctest.Wait()
		for _, record := range acceptRecords(testBundle(1, 0.5, "ann"), "ann") {
			_, err := log.Append(t.Context(), Stream, [][]byte{record})
			is.NoErr(err)
		}
		log.readGate <- struct{}{}
		for range 10 {
			is.Equal((<-confirmed).Bundle.Version, uint64(1))
		}
		is.Equal(log.readCount()-before, 2) // ten calls shared one read
	})
}

// A call that waits for a shared read must start its own when the context of the leader is canceled.
func TestConfirmSurvivesCanceledLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemoryLog()
		follower := NewFollower(FollowerConfig{Log: &blockingLog{memoryLog: log, blockedReads: 1}, Trusted: testTrusted("ann")})
		leader, cancel := context.WithCancel(t.Context())
		results := make(chan error, 2)
		go func() {
			_, err := follower.Confirm(leader)
			results <- err
		}()
		synctest.Wait()
		go func() {
			_, err := follower.Confirm(t.Context())
			results <- err
		}()
		synctest.Wait()
		cancel()
		is.True(errors.Is(<-results, context.Canceled))
		is.NoErr(<-results)
	})
}

// blockingLog blocks its first reads until their contexts end.
type blockingLog struct {
	*memoryLog
	blockedReads int
}

func (l *blockingLog) Read(ctx context.Context, stream string, offset int64, options platform.ReadOptions) (platform.ReadResult, error) {
	if l.blockedReads > 0 {
		l.blockedReads--
		<-ctx.Done()
		return platform.ReadResult{}, ctx.Err()
	}
	return l.memoryLog.Read(ctx, stream, offset, options)
}

func TestLearnFromPeerWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, lagging := newMemoryLog(), newMemoryLog()
		ahead := follow(t, log, testTrusted("ann"))
		proposeAndSign(t, ahead, testBundle(1, 0.1, "ann"), "ann")
		rotated := testBundle(2, 0.2, "ann")
		rotated.Partners[0].Keys = []string{FormatPublicKey(testPublic("new key"))}
		proposeAndSign(t, ahead, rotated, "ann")
		third := testBundle(3, 0.3, "ann")
		third.Partners[0].Keys = rotated.Partners[0].Keys
		_, err := ahead.Propose(t.Context(), Canonical(third))
		is.NoErr(err)
		_, err = ahead.SignOff(t.Context(), signOff(third, "ann", "ann"))
		is.True(errors.Is(err, ErrUnknownKey)) // the key was replaced
		_, err = ahead.SignOff(t.Context(), signOff(third, "ann", "new key"))
		is.NoErr(err)
		proof, _ := ahead.Proof()

		var versions []uint64
		onAccepted := func(accepted *Accepted) { versions = append(versions, accepted.Bundle.Version) }
		behind := NewFollower(FollowerConfig{Log: lagging, Trusted: testTrusted("ann"), OnAccepted: onAccepted})
		is.NoErr(behind.Learn(proof)) // the chain leads from the trusted keys across the rotation
		is.Equal(behind.Current().Bundle.Version, uint64(3))
		relayed, _ := behind.Proof()
		is.Equal(relayed, proof)
		status, err := behind.Status(digestOf(third))
		is.NoErr(err)
		is.Equal(status.State, StateInForce) // although the fold has not reached it

		forged := proof
		forged.Links = nil
		other := NewFollower(FollowerConfig{Log: lagging, Trusted: testTrusted("ann")})
		is.True(errors.Is(other.Learn(forged), ErrUnproven)) // the new key is not proven without the link
		is.True(other.Current() == nil)

		lagging.streams[Stream] = log.streams[Stream][:2]
		_, err = behind.Confirm(t.Context())
		is.NoErr(err)
		is.Equal(behind.Current().Bundle.Version, uint64(3)) // the older version of the log is not put in force again
		status, err = behind.Status(digestOf(testBundle(1, 0.1, "ann")))
		is.NoErr(err)
		is.Equal(status.State, StateSuperseded)
		lagging.streams[Stream] = log.streams[Stream]
		_, err = behind.Confirm(t.Context())
		is.NoErr(err)
		is.Equal(versions, []uint64{3})
	})
}

// A new node starts from the newest valid snapshot instead of reading the whole stream, and skips invalid and forged
// snapshots.
func TestSnapshotsLimitReadsOfNewNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemoryLog()
		follower := follow(t, log, testTrusted("ann"))
		for version := uint64(1); version <= 200; version++ {
			proposeAndSign(t, follower, testBundle(version, 0.5, "ann"), "ann")
		}
		time.Sleep(maxSnapshotDelay + 2*pollWait)
		synctest.Wait()
		is.Equal(len(log.streams[SnapshotStream]), 1)
		snapshot := log.streams[SnapshotStream][0].Payload

		_, err := log.Append(t.Context(), SnapshotStream, [][]byte{[]byte("garbage"), tamper(t, snapshot)})
		is.NoErr(err)
		fresh := NewFollower(FollowerConfig{Log: log, Trusted: testTrusted("ann")})
		before := log.readCount()
		accepted, err := fresh.Confirm(t.Context())
		is.NoErr(err)
		is.Equal(accepted.Bundle.Version, uint64(200))
		is.True(log.readCount()-before <= 6) // two for the tails, three for the snapshots, one for the rest of the stream
		is.Equal(fresh.Stats().NextOffset, int64(400))

		stranger := NewFollower(FollowerConfig{Log: log, Trusted: testTrusted("eve")})
		accepted, err = stranger.Confirm(t.Context())
		is.NoErr(err)
		is.True(accepted == nil) // neither snapshot nor stream is proven by its keys
	})
}

// All nodes see the same records. Without a random delay, many of them would write the same snapshot.
func TestManyNodesWriteFewSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newMemoryLog()
		log.readDelay = func() time.Duration { return 5*time.Millisecond + rand.N(5*time.Millisecond) }
		for range 200 {
			follow(t, log, testTrusted("ann"))
		}
		for range recordsPerSnapshot {
			_, err := log.Append(t.Context(), Stream, [][]byte{[]byte("garbage")})
			is.NoErr(err)
		}
		// Records are appended at shorter intervals than pollWait, because with Go 1.26.8 the race detector may crash when
		// many timers of a synctest bubble expire at the same instant.
		const interval = 15 * time.Second
		for range maxSnapshotDelay / interval {
			time.Sleep(interval)
			_, err := log.Append(t.Context(), Stream, [][]byte{[]byte("garbage")})
			is.NoErr(err)
		}
		written := len(log.streams[SnapshotStream])
		is.True(written >= 1)
		is.True(written <= 3)
	})
}

// tamper returns the snapshot with a forged bundle in force.
func tamper(t *testing.T, payload []byte) []byte {
	state, err := decodeSnapshot(payload)
	if err != nil {
		t.Fatal(err)
	}
	last := &state.Proposals[len(state.Proposals)-1]
	forged := testBundle(last.Version, 0.9, "ann")
	last.Canonical, last.Digest = Canonical(forged), digestOf(forged)
	state.InForce = last.Digest
	return mustRecord(kindSnapshot, state)
}

// TestStatusCallsDoNotReadLog checks that CaughtUpAt, List and Status do not read the log, and that CaughtUpAt stops
// advancing while the log is down.
func TestStatusCallsDoNotReadLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := newMemoryLog()
		follower := follow(t, memory, testTrusted("p"))
		is.True(!follower.CaughtUpAt().After(time.Now()))
		time.Sleep(time.Minute)
		is.True(time.Since(follower.CaughtUpAt()) <= pollWait) // polls without new records count
		memory.setDown(true)
		time.Sleep(2 * pollWait)
		reads, knownAt := memory.readCount(), follower.CaughtUpAt()
		is.True(time.Since(knownAt) >= pollWait) // failed reads do not count
		_, _, err := follower.List(Page{Size: 10})
		is.NoErr(err)
		_, _ = follower.Status("")
		is.Equal(follower.CaughtUpAt(), knownAt)
		is.Equal(memory.readCount(), reads)
	})
}
