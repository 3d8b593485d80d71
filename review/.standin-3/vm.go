package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of a small deployment.
const (
	heartbeat    = 1200 * time.Millisecond
	stableMS     = 3000
	drainMS      = 2000
	leaseMS      = 3000
	vmMemoryMB   = 174
	startTimeout = 20 * time.Second
)

var zones = []string{"brest", "rennes", "lorient"}

// vm is a process of the system, started with the command of the deploy file.
type vm struct {
	name, ip, front, ready string
	folder, settings       string
	command                *exec.Cmd
	log                    *os.File
}

// world is what a case runs in.
type world struct {
	record *record
	store  *store
	vms    []*vm
	folder string
	base   string
}

// loopback returns a loopback address that differs between cases that run at the same time.
func loopback(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+(pid>>8)%250), byte(pid), byte(1+n)).String()
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

func newWorld(recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder}
	if w.record, err = newRecord(recordPath); err != nil {
		return nil, err
	}
	w.store, err = startStore(loopback(200))
	return w, err
}

// deployCommand returns the words of the run line of the deploy file.
func deployCommand() []string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		panic(err)
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(rest), `"`))
		}
	}
	panic("no run line")
}

// startVM starts a VM in a zone.
func (w *world) startVM(n int, extra string) (*vm, error) {
	ip := loopback(n)
	zone := zones[n%len(zones)]
	v := &vm{name: fmt.Sprintf("edge-%s-%d", zone, n), ip: ip, folder: w.folder}
	v.front, v.ready = net.JoinHostPort(ip, freePort(ip)), net.JoinHostPort(ip, freePort(ip))
	text := fmt.Sprintf(`node=%s
role=gateway
machine_class=edge
serves=edge
ip=%s
zone=%s
region=bzh
zones.brest=bzh
zones.rennes=bzh
zones.lorient=bzh
listen.front=%s
listen.ready=%s
internal_ports=%s,%s
seeds=
bootstrap=true
in_failure_budget=false
limits.cpu_share=0.8
limits.cores=1
limits.memory_mb=%d
limits.max_fds=8200
limits.link_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=%d
contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_ms=%d
bounds.ack_ms=4000
bounds.catch_up_s=5.5
bounds.drain_ms=%d
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.revert_slack_ms=250
bounds.max_stretch_ms=5000
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.finish_s=10
bounds.status_s=120
bounds.cancel_ms=3000
bounds.settle_ms=1000
bounds.quota_overshoot=0.1
bounds.fencing_required=true
bounds.lease_ms=%d
bounds.thaw_ms=300
platform.addr=%s
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=%d
platform.append_ms=4.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.retention_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
%s`, v.name, ip, zone, v.front, v.ready, freePort(ip), freePort(ip), vmMemoryMB, heartbeat.Milliseconds(), stableMS, drainMS, leaseMS, w.store.address, partitions, extra)
	path := filepath.Join(w.folder, v.name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	v.settings = path
	var err error
	if v.log, err = os.Create(filepath.Join(w.folder, v.name+".log")); err != nil {
		return nil, err
	}
	w.vms = append(w.vms, v)
	return v, w.launch(v)
}

// launch starts a process of a VM.
func (w *world) launch(v *vm) error {
	words := deployCommand()
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAGOONLINK_SETTINGS=" + v.settings}
	command.Stdout, command.Stderr = v.log, v.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	v.command = command
	w.record.add("start", "vm", v.name, "front", v.front)
	return nil
}

// stopAndStart stops a VM as the platform does, and starts it again when it has ended.
func (w *world) stopAndStart(v *vm) error {
	w.record.add("sigterm", "vm", v.name)
	_ = v.command.Process.Signal(syscall.SIGTERM)
	_ = v.command.Wait()
	time.Sleep(200 * time.Millisecond)
	return w.launch(v)
}

// awaitReady waits until all VMs answer the readiness check with 200.
func (w *world) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range w.vms {
			if r, err := http.Get("http://" + v.ready + "/api/readyz"); err == nil {
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.vms) {
			w.record.add("ready", "vms", ready)
			return nil
		}
	}
	return fmt.Errorf("the VMs are not ready after %s", startTimeout)
}

// close ends the processes that the case started.
func (w *world) close() {
	for _, v := range w.vms {
		_ = v.command.Process.Kill()
		_ = v.command.Wait()
		v.log.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, v := range w.vms {
			data, _ := os.ReadFile(v.log.Name())
			_ = os.WriteFile(filepath.Join(keep, v.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(w.folder)
}

// route returns a route of the configuration.
func route(name, host, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": host, "path_prefix": prefix, "route_kind": kind, "service": service, "priority": 1}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
