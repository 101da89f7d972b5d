package stepledger

import (
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/shard"
)

// overloadRetryAfter is the retry delay sent to a trainer that has too many open steps.
const overloadRetryAfter = 5 * time.Second

// refuse returns the error that a caller receives.
func refuse(code peer.Code, message string) *peer.Error {
	return &peer.Error{Code: code, Message: message}
}

// openRefusal converts an error of opening a shard to a refusal. The codes state that the call had no effect.
func openRefusal(err error) error {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, shard.ErrNotOwner) {
		return refuse(peer.CodeNotOwner, err.Error())
	}
	return refuse(peer.CodeNotReady, "shard cannot be opened: "+err.Error())
}

// writeRefusal converts an error of Append or Confirm to a refusal. Only ErrNotOwner guarantees that the call had no effect.
func writeRefusal(err error) error {
	var refusal *peer.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	if errors.Is(err, shard.ErrNotOwner) {
		return refuse(peer.CodeNotOwner, err.Error())
	}
	return refuse(peer.CodeUncertain, err.Error())
}
