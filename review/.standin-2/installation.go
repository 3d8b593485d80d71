package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// lagoonlink is the command of the deploy file.
var lagoonlink = []string{"target/lagoonlink", "platform", "--metrics-port", "9464"}

// vm is an entry VM: a process of the system.
type vm struct {
	name, ip, front, ready, folder string
	command                        *exec.Cmd
	exited                         chan struct{}
}

// installation is a small deployment on loopback addresses.
type installation struct {
	folder string
	store  *store
	// storeAddress is where the entry VMs reach the store.
	storeAddress string
	vms          []*vm
	samplers     []*samplerProcess
	record       *record
	// memoryMB is the memory of an entry VM.
	memoryMB int
}

// record is the file that states what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// loopbackIP returns a loopback address that differs between processes and numbers.
func loopbackIP(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(20+(pid>>8)%200), byte(pid), byte(10+n)).String()
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func newInstallation(r *record, memoryMB int) (*installation, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	in := &installation{folder: folder, store: newStore(), record: r, memoryMB: memoryMB}
	l, err := net.Listen("tcp", loopbackIP(0)+":0")
	if err != nil {
		return nil, err
	}
	in.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, in.store) }()
	return in, nil
}

// settings returns the settings file of an entry VM, with the figures of a small site.
func (in *installation) settings(v *vm) string {
	lines := []string{
		"node=" + v.name, "role=gateway", "machine_class=edge", "serves=edge", "ip=" + v.ip, "zone=brest", "region=bzh", "zones.brest=bzh",
		"listen.front=" + v.front, "listen.ready=" + v.ready, "bootstrap=true", "in_failure_budget=false",
		"limits.cpu_share=0.8", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", in.memoryMB), "limits.max_fds=8200", "limits.link_mbps=700.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=1", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=5.5", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.revert_slack_ms=250", "bounds.max_stretch_ms=5000",
		"bounds.recover_s=12", "bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.finish_s=10", "bounds.status_s=120", "bounds.cancel_ms=3000",
		"bounds.settle_ms=1000", "bounds.quota_overshoot=0.1", "bounds.fencing_required=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300",
		"platform.addr=" + in.storeAddress, "platform.form=log", "platform.writes_per_s=800", "platform.reads_per_s=2000", fmt.Sprintf("platform.parts=%d", storeParts),
		"platform.append_ms=4.0", "platform.part_mb_s=20.0", "platform.read_mb_s=80.0", fmt.Sprintf("platform.record_bytes=%d", maxRecordBytes),
		fmt.Sprintf("platform.call_bytes=%d", maxCallBytes), "platform.retention_s=300", "platform.part_mb=200", "platform.ttl_min_ms=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

// startVMs starts entry VMs and waits until they are ready.
func (in *installation) startVMs(count int) error {
	for n := range count {
		v := &vm{name: fmt.Sprintf("edge-brest-%d", n+1), ip: loopbackIP(1 + n), folder: in.folder}
		var err error
		for _, a := range []*string{&v.front, &v.ready} {
			if *a, err = freeAddress(v.ip); err != nil {
				return err
			}
		}
		in.vms = append(in.vms, v)
		if err := in.start(v); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range in.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(in.vms) {
			in.record.printf("%d machines are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d machines are ready", ready, len(in.vms))
		}
	}
}

func (in *installation) start(v *vm) error {
	path := filepath.Join(in.folder, v.name+".conf")
	if err := os.WriteFile(path, []byte(in.settings(v)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(in.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.command = exec.Command(lagoonlink[0], lagoonlink[1:]...)
	v.command.Env = append(os.Environ(), "LAGOONLINK_SETTINGS="+path)
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(v.command, len(in.vms)); err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(v.command, v.exited)
	return nil
}

// startOnOneCore starts a process that stays on one core, as the machines of the platform
// have one.
func startOnOneCore(c *exec.Cmd, n int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one [128]byte
	size := unsafe.Sizeof(before)
	got, _, errno := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, uintptr(unsafe.Pointer(&before)))
	if errno != 0 {
		return errno
	}
	var cores []int
	for i := range int(got) * 8 {
		if before[i/8]&(1<<(i%8)) != 0 {
			cores = append(cores, i)
		}
	}
	core := cores[n%len(cores)]
	one[core/8] = 1 << (core % 8)
	if _, _, errno = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one))); errno != 0 {
		return errno
	}
	err := c.Start()
	if _, _, errno = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&before))); errno != 0 {
		return errno
	}
	return err
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + v.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends everything that was started. The logs are kept if KEEP names a folder.
func (in *installation) stop() {
	for _, v := range in.vms {
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Kill()
			<-v.exited
		}
	}
	for _, s := range in.samplers {
		s.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(in.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", in.folder)
	}
}
