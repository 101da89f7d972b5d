package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// current is the deployment of this process, nil before there is one.
var current *World

// check ends the process with 2 if a step that the case needs has failed.
func check(err error) {
	if err == nil {
		return
	}
	fmt.Println("cannot run:", err)
	if current != nil {
		current.rec.Say("cannot run: %v", err)
		current.Close()
	}
	os.Exit(2)
}

// Record is the file of what was sent, answered and run.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func (r *Record) Say(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// World is one small deployment.
type World struct {
	rec      *Record
	dir      string
	binary   string
	store    *Store
	nodes    []*Node
	samplers []*Sampler
	// servers are the servers that run as processes.
	servers []*exec.Cmd
	trouble bool
}

// Node is one process of the system.
type Node struct {
	world    *World
	name, ip string
	gateway  *Gateway
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

func freePort(ip string) int {
	listener, err := net.Listen("tcp4", ip+":0")
	check(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

func NewWorld(rec *Record, binary string) *World {
	dir, err := os.MkdirTemp("", "review66")
	check(err)
	current = &World{rec: rec, dir: dir, binary: binary, store: NewStore(8), trouble: os.Getenv("TROUBLE") != "0"}
	return current
}

// AddNode lays out the settings of a node and starts it.
func (w *World) AddNode(zone string) *Node {
	number := len(w.nodes) + 1
	ip := fmt.Sprintf("127.66.%d.%d", os.Getpid()%200+1, number)
	n := &Node{world: w, name: fmt.Sprintf("front-%s-%d", zone, number), ip: ip, gateway: w.store.Serve("127.0.0.1:0")}
	front, ready, control := freePort(ip), freePort(ip), freePort(ip)
	settings := map[string]any{
		"node": n.name, "role": "replica", "machineClass": "front", "serves": []string{"front"}, "ip": ip, "zone": zone, "region": "east",
		"zones":     map[string]string{"a": "east", "b": "east"},
		"listen":    map[string]string{"front": fmt.Sprintf("%s:%d", ip, front), "ready": fmt.Sprintf("%s:%d", ip, ready), "control": fmt.Sprintf("%s:%d", ip, control)},
		"portRange": []int{7720, 7735}, "seeds": []string{}, "bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 294, "maxFds": 8200, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "samples", "stream", "engine", "batch", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.3, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "finishS": 10,
			"statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOverage": 0.1, "requireFence": false, "leaseMs": 3000, "thawMs": 300,
		},
		"provider": map[string]any{
			"addr": n.gateway.Addr, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 8, "append_ms": 4.0, "part_mb_per_s": 20.0,
			"read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "maxWaitS": 300, "part_mb": 200, "ttlMinMs": 1000,
		},
	}
	content, err := json.Marshal(settings)
	check(err)
	n.settings = filepath.Join(w.dir, n.name+".json")
	check(os.WriteFile(n.settings, content, 0o600))
	w.nodes = append(w.nodes, n)
	n.Start()
	return n
}

func (n *Node) Front() string { return n.listen("front") }

func (n *Node) listen(name string) string {
	content, err := os.ReadFile(n.settings)
	check(err)
	var settings struct{ Listen map[string]string }
	check(json.Unmarshal(content, &settings))
	return settings.Listen[name]
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() {
	n.command = exec.Command(n.world.binary, "platform", "--metrics-port", "9464", "--log-format", "json")
	n.command.Env = append(os.Environ(), "HILLFORK_NODE_FILE="+n.settings)
	log, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.command.Start())
	n.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		err := command.Wait()
		n.world.rec.Say("process of %s ended: %v", n.name, err)
		close(ended)
	}(n.command, n.ended)
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) {
	n.world.rec.Say("%s gets %v", n.name, signal)
	_ = n.command.Process.Signal(signal)
}

// AwaitReady waits until the node says that it is ready.
func (n *Node) AwaitReady(limit time.Duration) bool {
	for started := time.Now(); time.Since(started) < limit; time.Sleep(50 * time.Millisecond) {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if got, err := client.Get("http://" + n.listen("ready") + "/-/ready"); err == nil {
			_ = got.Body.Close()
			if got.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// Close ends all processes that were started.
func (w *World) Close() {
	for _, n := range w.nodes {
		if n.ended != nil {
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
	for _, server := range w.servers {
		_ = server.Process.Kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// Configure writes a configuration.
func (w *World) Configure(config map[string]any) {
	content, err := json.Marshal(config)
	check(err)
	w.store.Put("keyed.op", "config", content)
	w.rec.Say("configuration %v is acknowledged", config["version"])
}

// NameVersion names a version of a model.
func (w *World) NameVersion(model string, version int64) {
	content, err := json.Marshal(map[string]any{"model": model, "version": version})
	check(err)
	w.store.Put("keyed.op", "version/"+model, content)
	w.rec.Say("version %d of %s is acknowledged", version, model)
}

// Sampler is a server of the platform.
type Sampler struct {
	world   *World
	id      string
	service string
	addr    string
	zone    string
	slots   int
	born    int64
	seq     atomicInt
	mutex   sync.Mutex
	models  map[string]int64
	busy    bool
	orders  int64
	proxy   *Proxy
	state   string
	stop    chan struct{}
	// OnRequest handles a request that carries an id.
	OnRequest func(s *Sampler, w http.ResponseWriter, r *http.Request, body []byte)
}

type atomicInt struct {
	mutex sync.Mutex
	value int64
}

func (a *atomicInt) next() int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.value++
	return a.value
}

// heartbeat is how often a server writes its entry.
const heartbeat = 1200 * time.Millisecond

// enter adds a server and begins to write its entry.
func (w *World) enter(s *Sampler) *Sampler {
	s.world, s.zone, s.born, s.state, s.stop = w, "a", time.Now().UnixMilli(), "ready", make(chan struct{})
	w.samplers = append(w.samplers, s)
	go s.beat()
	return s
}

// AddSampler starts a sampler and its entry in the store.
func (w *World) AddSampler(service string, slots int, models map[string]int64, onRequest func(*Sampler, http.ResponseWriter, *http.Request, []byte)) *Sampler {
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.67.0.%d:0", len(w.samplers)+1))
	check(err)
	proxy := NewProxy(fmt.Sprintf("127.68.0.%d:0", len(w.samplers)+1), listener.Addr().String())
	s := &Sampler{id: fmt.Sprintf("i-%s-%d", service, len(w.samplers)+1), service: service, slots: slots, models: models, proxy: proxy, addr: proxy.address, OnRequest: onRequest}
	w.enter(s)
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	return s
}

// beat writes the entry in the store again and again.
func (s *Sampler) beat() {
	for {
		s.write()
		select {
		case <-time.After(heartbeat):
		case <-s.stop:
			return
		}
	}
}

func (s *Sampler) modelList() []map[string]any {
	list := []map[string]any{}
	for name, version := range s.models {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return list
}

func (s *Sampler) write() {
	s.mutex.Lock()
	entry := map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state, "coldLeftMs": 0, "stage": "both",
		"models": s.modelList(), "seq": s.seq.next(), "born": s.born,
	}
	s.mutex.Unlock()
	content, err := json.Marshal(entry)
	check(err)
	s.world.store.Put("keyed.servers", s.id, content)
}

func (s *Sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", s.id)
	case r.URL.Path == "/-/report":
		s.mutex.Lock()
		defer s.mutex.Unlock()
		answer(w, http.StatusOK, map[string]any{
			"stage": "both", "models": s.modelList(), "busy": s.busy, "seq": s.orders, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": s.born,
		})
	case r.URL.Path == "/-/order":
		s.order(w, r, body)
	default:
		s.OnRequest(s, w, r, body)
	}
}

func (s *Sampler) order(w http.ResponseWriter, r *http.Request, body []byte) {
	var order struct {
		Op, Model, Holder string
		Version, Fence    int64
		ExpectedRev       *int64
	}
	check(json.Unmarshal(body, &order))
	s.world.rec.Say("%s gets an order of %s, fence %d: version %d of %s", s.id, order.Holder, order.Fence, order.Version, order.Model)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.models[order.Model] == order.Version:
		w.WriteHeader(http.StatusOK)
	case s.busy || order.ExpectedRev != nil && *order.ExpectedRev != s.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		s.orders++
		s.busy = true
		time.AfterFunc(900*time.Millisecond, func() {
			s.mutex.Lock()
			s.models[order.Model], s.busy = order.Version, false
			s.mutex.Unlock()
			s.write()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// Stamp marks an answer as the sampler's.
func (s *Sampler) Stamp(w http.ResponseWriter, r *http.Request) string {
	stamp := s.id + "." + strconv.FormatInt(s.seq.next(), 10)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Stamp", stamp)
	return stamp
}

// EventData is the data of an event of an item.
func EventData(id string, n int) string {
	return "e" + strconv.Itoa(n) + "-" + id + strings.Repeat("x", 40)
}

// Config is a configuration with routes and services.
func Config(version int, routes []map[string]any, services ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// App is the service of plain requests, Drafter that of model servers.
func App() map[string]any {
	return map[string]any{"name": "app", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
}

// Drafter is the service of model servers.
func Drafter() map[string]any {
	return map[string]any{
		"name": "drafter", "healthPath": "/health", "maxConns": 150, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 8, "kvCapacity": 103490, "kvTokenBytes": 18432, "linkMbps": 2900000.0, "migrations": true, "replicas": true, "stride": 45,
			"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": model}},
		},
	}
}

// Raw sends the bytes of one request over a new connection and returns the status and the body of the answer, 0 if there was none.
func Raw(address, request string) (status int, body string) {
	connection, err := net.Dial("tcp4", address)
	check(err)
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(4 * time.Second))
	_, _ = io.WriteString(connection, request)
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err.Error()
	}
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(content)
}
