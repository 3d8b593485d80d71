package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// vm is one machine of the system: a process that the deploy file's command starts.
type vm struct {
	name, ip, front, ready string
	settings, log          string
	command                *exec.Cmd
	exited                 chan error
}

// loopbackIP returns a loopback address that only machine n of this process uses.
func loopbackIP(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(10+(pid>>8)%200), byte(pid), byte(2+n)).String()
}

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		cannotRun("no free port at %s: %v", ip, err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newVM writes the settings of machine n and starts its process.
func newVM(n int, folder, storeAddress string) *vm {
	v := &vm{name: fmt.Sprintf("edge-z-%d", n+1), ip: loopbackIP(n)}
	v.front, v.ready = freeAddress(v.ip), freeAddress(v.ip)
	v.settings, v.log = filepath.Join(folder, v.name+".conf"), filepath.Join(folder, v.name+".log")
	text := fmt.Sprintf(`node=%s
role=gateway
machine_class=edge
serves=edge
ip=%s
zone=z
region=r
zones.z=r
listen.front=%s
listen.ready=%s
bootstrap=true
limits.cpu_share=0.8
limits.cores=1
limits.memory_mb=334
limits.max_fds=8200
heartbeat_ms=1200
discovery=platform
entry=vip
bounds.grace_s=8
bounds.stable_ms=3000
bounds.lease_ms=3000
bounds.drain_ms=2000
bounds.fencing_required=true
platform.addr=%s
platform.form=log
platform.parts=%d
platform.record_bytes=262144
platform.call_bytes=2097152
platform.retention_s=300
platform.ttl_min_ms=1000
`, v.name, v.ip, v.front, v.ready, storeAddress, partitions)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		cannotRun("write settings: %v", err)
	}
	v.start()
	return v
}

// start runs the command of the deploy file.
func (v *vm) start() {
	output, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("open log: %v", err)
	}
	defer output.Close()
	v.command = exec.Command("target/lagoonlink", "platform", "--metrics-port", "9464")
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LAGOONLINK_SETTINGS=" + v.settings}
	v.command.Stdout, v.command.Stderr = output, output
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		cannotRun("start %s: %v", v.name, err)
	}
	command, exited := v.command, make(chan error, 1)
	v.exited = exited
	atEnd(func() { _ = command.Process.Kill() })
	go func() { exited <- command.Wait() }()
	note("started %s, process %d", v.name, v.command.Process.Pid)
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	note("signal %v to %s", s, v.name)
	_ = v.command.Process.Signal(s)
}

// waitReady waits until the readiness check succeeds.
func (v *vm) waitReady(timeout time.Duration) {
	client := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		r, err := client.Get("http://" + v.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			note("%s is ready", v.name)
			return
		}
	}
	cannotRun("%s isn't ready after %s", v.name, timeout)
}

// newClient returns a client that keeps its connections and never repeats a request.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
		}},
	}
}
