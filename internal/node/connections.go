package node

import (
	"context"
	"time"
)

// lameDuckPeriod is how long a stopping node keeps idle connections of clients open. HTTP/1.1 has no way to announce that
// a connection closes, so a request that is sent while the server closes is lost without an answer. Each answer of a
// stopping node ends its connection instead, and only connections that were not used for this long are closed under
// their clients.
const lameDuckPeriod = 5 * time.Second

// shutdownAPI refuses new connections, lets clients use up those that they hold, and closes the rest once nothing is under way there. It does not
// shut the server down, which would close connections in place of answering what was read from them.
func (n *Node) shutdownAPI(ctx context.Context) error {
	_ = n.listeners.api.Close()
	lameDuck, cancel := context.WithTimeout(ctx, lameDuckPeriod)
	defer cancel()
	if n.connections.WaitClosed(lameDuck) == nil {
		return nil
	}
	return n.connections.CloseIdle(ctx)
}
