package unread_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/network/simnet"
	"github.com/hillfork/hillfork/internal/unread"
)

// TestStreamPauseDoesNotTimeOut has an answer pause, and end, long after its reader has read the last part: the write
// deadline applies to the reading of a part, not to the wait for the next one.
func TestStreamPauseDoesNotTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "10.1.0.1:80"
		fabric := simnet.New(simnet.Options{})
		listener, err := fabric.Host("10.1.0.1", "a", "r").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		budget := newBudget(memory)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			controller := http.NewResponseController(w)
			err := budget.WithDeadline(controller, func() error {
				if _, err := io.WriteString(w, "event"); err != nil {
					return err
				}
				return controller.Flush()
			})
			if err != nil {
				t.Error(err)
			}
			time.Sleep(2 * unread.WriteTimeout)
		})}
		go func() { _ = server.Serve(listener) }()
		client := http.Client{Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return fabric.Host("10.9.0.1", "a", "r").DialContext(ctx, address)
			},
		}}
		answer, err := client.Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		if content, err := io.ReadAll(answer.Body); err != nil || string(content) != "event" {
			t.Errorf("%q, %v", content, err)
		}
		_ = answer.Body.Close()
		_ = server.Close()
		time.Sleep(time.Second)
	})
}
