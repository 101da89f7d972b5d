package node

import (
	"context"
	"fmt"
	"net/http"

	"github.com/hillfork/hillfork/internal/peer"
	"github.com/hillfork/hillfork/internal/peerapi"
	"github.com/hillfork/hillfork/internal/requestledger"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// statusHandler serves /metrics, /healthz (the process responds) and /readyz (the node accepts work).
func (n *Node) statusHandler() http.Handler {
	n.registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
	)
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := n.notReady(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}

// notReady returns the reason why the node accepts no work; empty if it accepts work.
func (n *Node) notReady() string {
	switch {
	case n.stopping.Load():
		return "planned stop"
	case n.follower.Current() == nil:
		return "no bundle is in force here"
	case !n.directory.Loaded():
		return "the machine list has not been read"
	default:
		return ""
	}
}

// registerAdmin installs the handlers of calls that other nodes make for the administration API.
func (n *Node) registerAdmin(registrar peer.Registrar) {
	registrar.HandleUnary(peerapi.MethodListShards, func(context.Context, peer.Decode) (peer.Message, error) {
		result := &peerapi.ListShardsResult{}
		for _, info := range n.shards.List() {
			result.Shards = append(result.Shards, peerapi.ShardInfo{Name: info.Stream, Epoch: info.Epoch, Offset: info.Offset})
		}
		return result, nil
	})
	registrar.HandleUnary(peerapi.MethodNodeStatus, func(context.Context, peer.Decode) (peer.Message, error) {
		return &peerapi.NodeStatusResult{BundleVersion: n.follower.Stats().Version}, nil
	})
	registrar.HandleUnary(peerapi.MethodDrain, func(context.Context, peer.Decode) (peer.Message, error) {
		n.Stop()
		return &peerapi.DrainResult{}, nil
	})
}

// requestFailpoint returns a function that forwards the failpoints of the request ledger to Config.Failpoint; nil in
// production.
func (n *Node) requestFailpoint() func(requestledger.Failpoint) {
	if n.config.Failpoint == nil {
		return nil
	}
	return func(point requestledger.Failpoint) { n.config.Failpoint(string(point)) }
}
