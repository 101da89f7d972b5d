package stepledger

import (
	"errors"
	"time"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/shard"
)

// overloadRetryAfter is when a trainer that was refused for too many open steps may come back.
const overloadRetryAfter = 5 * time.Second

// refuse builds the refusal that a caller sees.
func refuse(code peer.Code, message string) *peer.Error {
	return &peer.Error{Code: code, Message: message}
}

// openRefusal turns an error of opening a shard into a refusal: nothing had any effect.
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

// writeRefusal turns an error of Append or Confirm into a refusal: only ErrNotOwner says that nothing took effect.
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
