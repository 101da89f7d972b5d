package simnet_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hillfork/hillfork/internal/network"
	"github.com/hillfork/hillfork/internal/network/simnet"
	"github.com/matryer/is"
)

const (
	clientIP = "10.0.0.1"
	serverIP = "10.0.1.1"
	address  = serverIP + ":80"
)

// pair is a client and a server in different zones, 500 µs apart.
type pair struct {
	t              *testing.T
	is             *is.I
	network        *simnet.Network
	client, server network.Network
	listener       net.Listener
}

// run runs a subtest in virtual time with a pair whose server is listening.
func run(t *testing.T, name string, test func(p *pair)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			n := simnet.New(simnet.Options{Seed: 1, BufferBytes: 1000})
			p := &pair{t: t, is: is.New(t), network: n}
			p.client = n.Host(clientIP, "a", "r")
			p.server = n.Host(serverIP, "b", "r")
			var err error
			p.listener, err = p.server.Listen(address)
			p.is.NoErr(err)
			test(p)
		})
	})
}

// connect returns the two ends of a stream.
func (p *pair) connect() (dialed, accepted net.Conn) {
	p.t.Helper()
	dialed, err := p.client.DialContext(p.t.Context(), address)
	p.is.NoErr(err)
	accepted, err = p.listener.Accept()
	p.is.NoErr(err)
	return dialed, accepted
}

func (p *pair) write(to net.Conn, data string) {
	p.t.Helper()
	_, err := io.WriteString(to, data)
	p.is.NoErr(err)
}

func (p *pair) read(from net.Conn, want string) {
	p.t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(from, got)
	p.is.NoErr(err)
	p.is.Equal(string(got), want)
}

func (p *pair) readError(from net.Conn) error {
	p.t.Helper()
	n, err := from.Read(make([]byte, 1))
	p.is.Equal(n, 0)
	return err
}

func (p *pair) dialWithin(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(p.t.Context(), timeout)
	defer cancel()
	dialed, err := p.client.DialContext(ctx, address)
	if err == nil {
		_ = dialed.Close()
	}
	return err
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

func TestStreams(t *testing.T) {
	run(t, "data takes the delay and ends with EOF", func(p *pair) {
		start := time.Now()
		dialed, accepted := p.connect()
		p.is.Equal(time.Since(start), time.Millisecond) // one transit delay in each direction
		p.write(dialed, "hello")
		p.is.NoErr(dialed.Close())
		p.read(accepted, "hello")
		p.is.Equal(time.Since(start), 1500*time.Microsecond)
		p.is.Equal(p.readError(accepted), io.EOF)
		p.is.Equal(p.network.Traffic(clientIP).StreamBytesSent, uint64(5))
		p.is.Equal(p.network.Traffic(serverIP).StreamBytesReceived, uint64(5))
		p.write(accepted, "unwanted")
		time.Sleep(time.Second)
		_, err := accepted.Write([]byte{1})
		p.is.True(errors.Is(err, syscall.ECONNRESET)) // data sent after the peer's Close is answered with a reset
	})
	run(t, "a full buffer blocks the writer until its deadline or a read", func(p *pair) {
		dialed, accepted := p.connect()
		p.is.NoErr(dialed.SetWriteDeadline(time.Now().Add(time.Second)))
		n, err := dialed.Write(make([]byte, 3000))
		p.is.Equal(n, 1000)
		p.is.True(isTimeout(err))
		p.is.NoErr(dialed.SetWriteDeadline(time.Time{}))
		copied := make(chan int64, 1)
		go func() {
			n, _ := io.Copy(io.Discard, accepted)
			copied <- n
		}()
		p.write(dialed, strings.Repeat("x", 3000))
		p.is.NoErr(dialed.Close())
		p.is.Equal(<-copied, int64(4000))
	})
	run(t, "a deadline and a close wake a blocked read", func(p *pair) {
		dialed, accepted := p.connect()
		time.AfterFunc(time.Second, func() { _ = dialed.SetReadDeadline(time.Now()) })
		p.is.True(isTimeout(p.readError(dialed)))
		time.AfterFunc(time.Second, func() { _ = accepted.Close() })
		p.is.True(errors.Is(p.readError(accepted), net.ErrClosed))
	})
}

func TestFaults(t *testing.T) {
	run(t, "a partition holds streams up and a heal lets them go on", func(p *pair) {
		dialed, accepted := p.connect()
		heal := p.network.Partition(simnet.ByZone("a"), simnet.ByZone("b"))
		p.write(dialed, "late")
		p.is.True(isTimeout(p.dialWithin(time.Second)))
		p.is.NoErr(accepted.SetReadDeadline(time.Now().Add(time.Second)))
		p.is.True(isTimeout(p.readError(accepted)))
		p.is.NoErr(accepted.SetReadDeadline(time.Time{}))
		healed := time.Now()
		heal()
		p.read(accepted, "late")
		p.is.Equal(time.Since(healed), 500*time.Microsecond)
		p.is.NoErr(p.dialWithin(time.Second))
	})
	run(t, "a cut of one direction leaves the other", func(p *pair) {
		dialed, accepted := p.connect()
		p.network.Apply(simnet.Rule{From: simnet.ByIP(serverIP), To: simnet.Everywhere, Cut: true})
		p.write(dialed, "there")
		p.read(accepted, "there")
		p.write(accepted, "back")
		p.is.NoErr(dialed.SetReadDeadline(time.Now().Add(time.Second)))
		p.is.True(isTimeout(p.readError(dialed)))
	})
	run(t, "a crash resets after what had left, refuses dials, and a restart listens again", func(p *pair) {
		dialed, accepted := p.connect()
		p.write(accepted, "last")
		p.network.Crash(serverIP)
		_, err := accepted.Write([]byte{1})
		p.is.True(err != nil)
		_, err = p.listener.Accept()
		p.is.True(errors.Is(err, net.ErrClosed))
		p.read(dialed, "last")
		p.is.True(errors.Is(p.readError(dialed), syscall.ECONNRESET))
		p.is.True(errors.Is(p.dialWithin(time.Second), syscall.ECONNREFUSED))
		restarted := p.network.Restart(serverIP)
		_, err = p.server.Listen(address)
		p.is.True(errors.Is(err, syscall.ENETDOWN)) // the crashed process cannot open sockets again
		_, err = restarted.Listen(address)
		p.is.NoErr(err)
		p.is.NoErr(p.dialWithin(time.Second))
	})
	run(t, "the reset of a crash within a partition comes with the heal", func(p *pair) {
		dialed, _ := p.connect()
		heal := p.network.Isolate(simnet.ByIP(serverIP))
		p.network.Crash(serverIP)
		p.is.NoErr(dialed.SetReadDeadline(time.Now().Add(time.Hour)))
		p.is.True(isTimeout(p.readError(dialed)))
		p.is.NoErr(dialed.SetReadDeadline(time.Time{}))
		heal()
		p.is.True(errors.Is(p.readError(dialed), syscall.ECONNRESET))
	})
	run(t, "a paused host's writes leave and its reads come at the resume", func(p *pair) {
		dialed, accepted := p.connect()
		p.write(dialed, "to")
		time.Sleep(time.Second) // delivered but not read yet
		p.network.Pause(serverIP)
		p.write(accepted, "from")
		p.write(dialed, "gether")
		for _, end := range []net.Conn{dialed, accepted} {
			p.is.NoErr(end.SetReadDeadline(time.Now().Add(time.Minute)))
			p.is.True(isTimeout(p.readError(end)))
			p.is.NoErr(end.SetReadDeadline(time.Time{}))
		}
		p.network.Resume(serverIP)
		p.read(dialed, "from")
		p.read(accepted, "together")
	})
	run(t, "what a paused host had written is gone when it crashes", func(p *pair) {
		dialed, accepted := p.connect()
		p.network.Pause(serverIP)
		p.write(accepted, "never")
		p.network.Crash(serverIP)
		p.is.True(errors.Is(p.readError(dialed), syscall.ECONNRESET))
	})
	run(t, "jitter keeps a stream in order", func(p *pair) {
		p.network.SetDelay(func(_, _ simnet.Place) (base, jitter time.Duration) { return 0, time.Second })
		dialed, accepted := p.connect()
		var sent strings.Builder
		for range 100 {
			p.write(dialed, string(rune('a'+sent.Len()%26)))
			sent.WriteByte(byte('a' + sent.Len()%26))
		}
		start := time.Now()
		p.read(accepted, sent.String())
		p.is.True(time.Since(start) > 500*time.Millisecond && time.Since(start) < time.Second)
	})
	run(t, "extra delay", func(p *pair) {
		dialed, accepted := p.connect()
		p.network.Apply(simnet.Rule{From: simnet.ByRegion("r"), To: simnet.ByIP(serverIP), ExtraDelay: time.Second})
		start := time.Now()
		p.write(dialed, "x")
		p.read(accepted, "x")
		p.is.Equal(time.Since(start), time.Second+500*time.Microsecond)
	})
}

func TestDatagrams(t *testing.T) {
	run(t, "loss, partition, pause", func(p *pair) {
		from, err := p.client.ListenPacket(clientIP + ":0")
		p.is.NoErr(err)
		to, err := p.server.ListenPacket(address)
		p.is.NoErr(err)
		send := func(count int) {
			for range count {
				_, err := from.WriteTo([]byte("0123456789"), to.LocalAddr())
				p.is.NoErr(err)
			}
		}
		receive := func() (count int) {
			p.is.NoErr(to.SetReadDeadline(time.Now().Add(time.Second)))
			for {
				_, sender, err := to.ReadFrom(make([]byte, 100))
				if err != nil {
					p.is.True(isTimeout(err))
					return count
				}
				p.is.Equal(sender.String(), from.LocalAddr().String())
				count++
			}
		}
		send(3)
		p.is.Equal(receive(), 3)
		remove := p.network.Apply(simnet.Rule{From: simnet.Everywhere, To: simnet.Everywhere, DatagramLoss: 0.5})
		send(1000)
		arrived := receive()
		p.is.True(arrived > 400 && arrived < 600)
		remove()
		heal := p.network.Partition(simnet.ByIP(clientIP), simnet.ByIP(serverIP))
		send(1)
		heal()
		p.is.Equal(receive(), 0) // dropped, not delayed
		p.network.Pause(clientIP)
		send(2)
		p.is.Equal(receive(), 0)
		p.network.Resume(clientIP)
		p.network.Pause(serverIP)
		p.is.Equal(receive(), 0)
		p.network.Resume(serverIP)
		p.is.Equal(receive(), 2)
		p.network.Crash(serverIP)
		send(1)
		_, _, err = to.ReadFrom(make([]byte, 1))
		p.is.True(errors.Is(err, net.ErrClosed))
	})
}

// TestHTTP checks that net/http works in virtual time with a streaming response, and that the synctest bubble ends.
func TestHTTP(t *testing.T) {
	run(t, "streaming response", func(p *pair) {
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range 3 {
				_, _ = io.WriteString(w, "line\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Minute)
			}
		})}
		served := make(chan error, 1)
		go func() { served <- server.Serve(p.listener) }()
		transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return p.client.DialContext(ctx, address)
		}}
		client := &http.Client{Transport: transport}
		start := time.Now()
		response, err := client.Get("http://" + address)
		p.is.NoErr(err)
		lines := bufio.NewScanner(response.Body)
		for i := range 3 {
			p.is.True(lines.Scan())
			p.is.Equal(time.Since(start).Truncate(time.Minute), time.Duration(i)*time.Minute)
		}
		p.is.True(!lines.Scan())
		p.is.NoErr(response.Body.Close())
		p.is.NoErr(server.Shutdown(p.t.Context()))
		p.is.Equal(<-served, http.ErrServerClosed)
		transport.CloseIdleConnections()
	})
}

func BenchmarkThousandConns(b *testing.B) {
	n := simnet.New(simnet.Options{Delay: func(_, _ simnet.Place) (time.Duration, time.Duration) { return 0, 0 }})
	listener, err := n.Host(serverIP, "", "").Listen(address)
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(accepted, accepted) }()
		}
	}()
	var conns [1000]net.Conn
	for i := range conns {
		if conns[i], err = n.Host(clientIP, "", "").DialContext(b.Context(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		var group sync.WaitGroup
		for _, each := range conns {
			group.Go(func() {
				buffer := make([]byte, 100)
				_, _ = each.Write(buffer)
				_, _ = io.ReadFull(each, buffer)
			})
		}
		group.Wait()
	}
	b.StopTimer()
	for _, each := range conns {
		_ = each.Close()
	}
	_ = listener.Close()
}
