package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment on loopback addresses of one network 127.X.Y.0/24.
type site struct {
	network string
	dir     string
	root    string
	command []string
	store   *Store
	record  *recorder

	mutex    sync.Mutex
	replicas []*replica
	samplers []*sampler
}

// replica is one machine of the system with its process.
type replica struct {
	site       *site
	name       string
	ip         string
	zone       string
	front      string
	ready      string
	storeAddr  string
	settings   string
	mutex      sync.Mutex
	process    *exec.Cmd
	done       chan struct{}
	ordered    bool
	unexpected int
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// newSite finds free loopback addresses and reads the command of the deploy file.
func newSite(record *recorder) (*site, error) {
	root, err := findRoot()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	found := runLine.FindSubmatch(deploy)
	if found == nil {
		return nil, errors.New("the deploy file names no command")
	}
	dir, err := os.MkdirTemp("", "hillfork-review-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, root: root, command: strings.Fields(string(found[1])), store: NewStore(), record: record}
	for third := os.Getpid() % 200; third < 250; third++ {
		s.network = fmt.Sprintf("127.77.%d.", third)
		if s.free() {
			return s, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
	}
	return "", errors.New("deploy/system.toml not found")
}

// ports that a replica uses on its address; the last is the one of its metrics in the deploy file.
const (
	frontPort   = "8161"
	readyPort   = "8167"
	metricsPort = "9464"
	storePort   = "8169"
)

// free reports whether the ports can be bound at the addresses of the network.
func (s *site) free() bool {
	for host := 1; host < 60; host++ {
		for _, port := range []string{frontPort, readyPort, metricsPort, storePort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%s", s.network, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

var zones = map[string]string{"linz-a": "at-east", "linz-b": "at-east", "wels": "at-east"}

var zoneNames = []string{"linz-a", "linz-b", "wels"}

// addReplica writes the settings of a machine, with the figures of the smallest deployment.
func (s *site) addReplica() error {
	number := len(s.replicas)
	r := &replica{site: s, zone: zoneNames[number%3]}
	r.name = fmt.Sprintf("front-%s-%d", r.zone, 1+number/3)
	r.ip = fmt.Sprintf("%s%d", s.network, 10+number)
	r.front, r.ready = r.ip+":"+frontPort, r.ip+":"+readyPort
	// The replicas reach one store at one address each, so that the store knows who calls.
	r.storeAddr = fmt.Sprintf("%s%d:%s", s.network, 10+number, storePort)
	if err := s.store.Serve(r.storeAddr, r.name); err != nil {
		return err
	}
	content, err := json.Marshal(map[string]any{
		"node": r.name, "role": "replica", "machineClass": "front", "serves": []string{"front"}, "ip": r.ip, "zone": r.zone, "region": "at-east",
		"zones":  zones,
		"listen": map[string]string{"front": r.front, "ready": r.ready},
		"limits": map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 294, "maxFds": 8200, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.3, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "finishS": 10,
			"statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOverage": 0.1, "requireFence": false, "leaseMs": 3000, "thawMs": 300,
		},
		"discovery": "platform", "entry": "vip", "heartbeatMs": 1200, "bootstrap": true,
		"provider": map[string]any{
			"addr": r.storeAddr, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": partitions, "append_ms": 4.0,
			"part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "maxWaitS": 300, "part_mb": 200, "ttlMinMs": 1000,
		},
	})
	if err != nil {
		return err
	}
	r.settings = filepath.Join(s.dir, r.name+".json")
	s.replicas = append(s.replicas, r)
	return os.WriteFile(r.settings, content, 0o600)
}

// start starts the process of a machine.
func (r *replica) start() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(r.site.dir, r.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(r.site.root, r.site.command[0]), r.site.command[1:]...)
	command.Dir = r.site.root
	command.Env = []string{"HILLFORK_NODE_FILE=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + r.site.dir, "LANG=C"}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.process, r.done, r.ordered = command, done, false
	r.site.record.printf("process of %s started, pid %d", r.name, command.Process.Pid)
	go func() {
		_ = command.Wait()
		r.mutex.Lock()
		if !r.ordered && r.process == command {
			r.unexpected++
			r.site.record.printf("process of %s ended by itself", r.name)
		}
		r.mutex.Unlock()
		close(done)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (r *replica) kill() {
	r.mutex.Lock()
	process, done := r.process, r.done
	r.ordered = true
	r.mutex.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	<-done
}

// stop orders a planned stop, and has the process end as the platform does: SIGKILL comes graceS after SIGTERM. The result
// is closed once the process has ended.
func (r *replica) stop() <-chan struct{} {
	r.mutex.Lock()
	process, done := r.process, r.done
	r.ordered = true
	r.mutex.Unlock()
	r.site.record.printf("planned stop of %s: SIGTERM", r.name)
	_ = process.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-done:
		case <-time.After(8 * time.Second):
			_ = process.Process.Signal(syscall.SIGKILL)
			<-done
		}
		r.site.record.printf("the process of %s has ended", r.name)
	}()
	return ended
}

// isReady asks the process whether it takes traffic.
func (r *replica) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+"/-/ready", nil)
	if err != nil {
		return false
	}
	answered, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = answered.Body.Close()
	return answered.StatusCode == http.StatusOK
}

// startAll starts all processes and waits until they are ready.
func (s *site) startAll() error {
	for _, r := range s.replicas {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range s.replicas {
		if !waitFor(20*time.Second, r.isReady) {
			return fmt.Errorf("%s did not become ready", r.name)
		}
	}
	return nil
}

func waitFor(limit time.Duration, met func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return false
}

// close ends all processes and samplers.
func (s *site) close() {
	for _, r := range s.replicas {
		r.kill()
	}
	for _, known := range s.samplers {
		known.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.record.printf("logs are kept in a temporary folder")
		fmt.Println(s.dir)
	}
}

// byName returns a replica by the name of its machine.
func (s *site) byName(name string) *replica {
	for _, r := range s.replicas {
		if r.name == name {
			return r
		}
	}
	return nil
}
