package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// unframedRun is the run of the server process whose stream carries no length, counted from 1.
const unframedRun = 3

// serve runs one model server as a process of its own. It tells its address and its events on standard output. Its streams are chunked; if
// unframed is set, that of one run carries no length and ends with its connection.
func serve(id string, unframed bool) {
	var runs atomic.Int64
	listener, err := net.Listen("tcp4", "127.67.1.1:0")
	check(err)
	fmt.Println("address", listener.Addr())
	check(http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		switch r.URL.Path {
		case "/-/report":
			answer(w, http.StatusOK, map[string]any{"stage": "both", "models": []map[string]any{{"name": model, "version": 1}}, "busy": false, "seq": 0})
			return
		case "/-/order":
			w.WriteHeader(http.StatusOK)
			return
		}
		item := r.Header.Get("X-Request-Id")
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		hint, _ := strconv.Atoi(r.Header.Get("X-Length-Hint"))
		head := w.Header()
		head.Set("X-Request-Id", item)
		head.Set("X-Response-Stamp", id+"."+item)
		head.Set("X-Weight-Versions", "1")
		head.Set("Content-Type", "text/event-stream")
		write := func(text string) error {
			_, err := w.Write([]byte(text))
			w.(http.Flusher).Flush()
			return err
		}
		kind := "chunked"
		if runs.Add(1) == unframedRun && unframed {
			kind = "unframed"
			connection, _, err := w.(http.Hijacker).Hijack()
			check(err)
			defer connection.Close()
			write = func(text string) error { _, err := connection.Write([]byte(text)); return err }
			var lines strings.Builder
			_ = head.Write(&lines)
			_ = write("HTTP/1.1 200 OK\r\n" + lines.String() + "Connection: close\r\n\r\n")
		}
		for n := first + 1; n <= hint/tokensPerEvent; n++ {
			time.Sleep(pace)
			if write(fmt.Sprintf("id: %d\ndata: %s\n\n", n, EventData(item, n))) != nil {
				return
			}
			fmt.Println(kind, item, n)
		}
	})))
}

// Process is a model server that runs as a process.
type Process struct {
	sampler *Sampler
	command *exec.Cmd
	// lines receives a line for each event that the server has made: the kind of the stream, the item, the number.
	lines chan string
}

// StartServer starts a model server as a process and its entry in the store.
func (w *World) StartServer(unframed bool) *Process {
	id := "i-process-1"
	own, err := os.Executable()
	check(err)
	command := exec.Command(own, "serve", id, strconv.FormatBool(unframed))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	check(err)
	check(command.Start())
	scanner := bufio.NewScanner(output)
	if !scanner.Scan() {
		check(fmt.Errorf("the server does not start"))
	}
	p := &Process{command: command, lines: make(chan string, 100000)}
	address := strings.TrimPrefix(scanner.Text(), "address ")
	go func() {
		for scanner.Scan() {
			p.lines <- scanner.Text()
		}
		_ = command.Wait()
		close(p.lines)
	}()
	p.sampler = w.enter(&Sampler{id: id, service: "drafter", slots: 8, models: map[string]int64{model: 1}, addr: address})
	w.servers = append(w.servers, command)
	return p
}

// Kill kills the server's process. Its entry goes after three heartbeats of silence.
func (p *Process) Kill() {
	p.sampler.world.rec.Say("%s gets SIGKILL", p.sampler.id)
	_ = p.command.Process.Kill()
	close(p.sampler.stop)
	time.AfterFunc(3*heartbeat, func() { p.sampler.world.store.Put("keyed.servers", p.sampler.id, nil) })
}
