package node

import (
	"context"
	"time"
)

// lameDuckPeriod is how long a stopping node keeps idle client connections open. An HTTP/1.1 server cannot announce that it
// closes an idle connection, so a request that is sent while the server closes is lost without a response. A stopping node
// therefore closes each connection with its next response ("Connection: close"), and closes only those connections without
// a response that were idle for this period.
const lameDuckPeriod = 5 * time.Second

// shutdownAPI closes the listener, waits up to lameDuckPeriod for open connections to be closed with their next response,
// and then closes the remaining ones once no request is in progress on them. It does not call http.Server.Shutdown, which
// may close a connection without responding to a request that was already read from it.
func (n *Node) shutdownAPI(ctx context.Context) error {
	_ = n.listeners.api.Close()
	lameDuck, cancel := context.WithTimeout(ctx, lameDuckPeriod)
	defer cancel()
	if n.connections.WaitClosed(lameDuck) == nil {
		return nil
	}
	return n.connections.CloseIdle(ctx)
}
