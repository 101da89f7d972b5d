package correlate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// lingering is a connection that records whether it is reset when it is closed.
type lingering struct {
	net.Conn
	reset *bool
}

func (l lingering) SetLinger(seconds int) error {
	*l.reset = seconds == 0
	return nil
}

// carrier is a connection that is carried by another one, as one that is counted.
type carrier struct{ net.Conn }

func (c carrier) NetConn() net.Conn { return c.Conn }

// TestConnectionOfAbandonedRequestIsReset guards against a call that arrives seconds after it was given up: a partition of the network held
// its bytes up, and delivers them once it has ended unless the connection was reset. Connections without a request are closed as usual, so
// that the peer learns of it.
func TestConnectionOfAbandonedRequestIsReset(t *testing.T) {
	tests := []struct {
		name  string
		end   func(answer *http.Response, cancel context.CancelFunc)
		reset bool
	}{
		{"cancelled before the answer", nil, true},
		{"cancelled before the end of the answer", func(_ *http.Response, cancel context.CancelFunc) { cancel() }, true},
		{"answer closed before its end", func(answer *http.Response, _ context.CancelFunc) { _ = answer.Body.Close() }, true},
		{"answer read to its end", func(answer *http.Response, _ context.CancelFunc) { _, _ = io.Copy(io.Discard, answer.Body) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var wasReset bool
				near, far := net.Pipe()
				defer far.Close() //nolint:errcheck // the test ends
				transport := New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
					return carrier{lingering{near, &wasReset}}, nil
				}}, idHeader)
				go func() {
					_, _ = far.Read(make([]byte, 1<<10))
					if test.end != nil {
						_, _ = io.WriteString(far, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: a\r\nContent-Length: 6\r\n\r\n", idHeader))
						_, _ = io.WriteString(far, "answer")
					}
					_, _ = io.Copy(io.Discard, far)
				}()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host, nil)
				is.NoErr(err)
				if test.end == nil {
					go func() {
						synctest.Wait()
						cancel()
					}()
				}
				answer, err := transport.Do(request, Identity{ID: "a"}, time.Time{})
				if test.end != nil {
					is.NoErr(err)
					test.end(answer, cancel)
				}
				synctest.Wait()
				transport.CloseIdleConnections()
				is.Equal(wasReset, test.reset)
			})
		})
	}
}
