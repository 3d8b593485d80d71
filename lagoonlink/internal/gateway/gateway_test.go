package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/gateway"
	"lagoonlink.org/lagoonlink/internal/jobs"
	"lagoonlink.org/lagoonlink/internal/relay"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/tenancy"
)

const (
	partitions = 4
	servers    = 5
	// scoreServers is the number of servers of the scoring service.
	scoreServers = 3
	model        = rollout.ModelName("m")
	// testTimeout limits every wait of a test.
	testTimeout = 20 * time.Second
)

// fakeListener is a gateway.Listener without a network. It gives tests access to the
// VM's manager and signals.
type fakeListener struct {
	requests *relay.Relay
	manager  *jobs.Manager
	closed   chan struct{}
	once     sync.Once
	// terminate and hangup deliver fake signals; reloads counts how often the
	// settings were read again.
	terminate, hangup chan os.Signal
	reloads           atomic.Int64
}

func (f *fakeListener) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-f.closed:
	}
	return nil
}
func (f *fakeListener) ServeReady(ctx context.Context) error { return f.Serve(ctx) }
func (f *fakeListener) Active() int                          { return 0 }
func (f *fakeListener) Connections() int                     { return 0 }
func (f *fakeListener) Drain()                               {}
func (f *fakeListener) Shutdown(context.Context) error       { return nil }

func (f *fakeListener) Close() error {
	f.once.Do(func() { close(f.closed) })
	return nil
}

// deployment runs several entry VMs on one in-memory store.
type deployment struct {
	store     *standin.Store
	operator  *standin.Feed[rollout.Declared]
	servers   *standin.Feed[rollout.RegisteredServer]
	engines   *standin.Engines
	scorers   *standin.Scorers
	listeners map[rollout.VMName]*fakeListener
	stop      map[rollout.VMName]context.CancelFunc
	// done holds channels that are closed when the VM's Run has returned.
	done map[rollout.VMName]chan struct{}
	// address accepts connections, so that a failing server does not appear to have
	// crashed.
	address string
	group   sync.WaitGroup
	// revocation is the policy of the VMs that start next.
	revocation tenancy.Policy
	// duties configures the singleton calls of VMs that are started later.
	duties gateway.Duties
	// log collects the log lines of all VMs; a failed test prints them.
	log logBuffer
}

// logBuffer is a buffer that is safe for concurrent writes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// movesFromSlowServers returns how often a sample's run was moved because its server was slower
// than others, as the log says. The engines share the test's processor, so that any of them may
// look slow on a busy machine.
func (d *deployment) movesFromSlowServers(sample string) (n int) {
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	for line := range strings.Lines(d.log.text.String()) {
		if strings.Contains(line, "Event=725 ") && strings.Contains(line, "Sample="+sample+" ") && strings.Contains(line, "slower than others") {
			n++
		}
	}
	return n
}

func deploy(t *testing.T, pieces int, pieceDelay time.Duration, vms ...rollout.VMName) *deployment {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, "listen", err)
	d := &deployment{
		address: listener.Addr().String(),
		store:   standin.NewStore(partitions), operator: standin.NewFeed[rollout.Declared](),
		servers: standin.NewFeed[rollout.RegisteredServer](), engines: standin.NewEngines(model, pieces, pieceDelay), scorers: standin.NewScorers(),
		listeners: map[rollout.VMName]*fakeListener{}, stop: map[rollout.VMName]context.CancelFunc{},
		done: map[rollout.VMName]chan struct{}{},
	}
	d.operator.Put(rollout.Change[rollout.Declared]{Key: "config", Value: rollout.Declared{Table: &rollout.RouteTable{
		Version: 1,
		Routes: []rollout.Route{
			{Name: "r", Host: "a.example", Prefix: "/p/", Kind: rollout.RouteJobs, Splits: []rollout.Split{{Service: "pool"}}, MaxAttempts: 3},
			{Name: "scores", Host: "a.example", Prefix: "/score/", Kind: rollout.RouteIdempotent, Splits: []rollout.Split{{Service: "scores"}}, MaxAttempts: 3, Timeout: 5 * time.Second},
		},
		Services: []rollout.RoutedService{{Name: "pool", Models: []rollout.ModelName{model}, Slots: 4}, {Name: "scores", Slots: 6}},
	}}})
	for n := range servers {
		d.register(n, 1)
	}
	for n := range scoreServers {
		name := fmt.Sprintf("c%d", n)
		d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: name, Value: rollout.RegisteredServer{
			Name: rollout.ServerName(name), Service: "scores", Address: d.address, Slots: 6,
		}})
	}
	for _, vm := range vms {
		d.start(vm)
	}
	t.Cleanup(func() {
		for _, stop := range d.stop {
			stop()
		}
		d.group.Wait()
		if t.Failed() {
			t.Log(d.log.text.String())
		}
		assert.NoError(t, "close the listener", listener.Close())
	})
	return d
}

func (d *deployment) register(n int, v rollout.WeightVersion) { d.registerSoftware(n, v, "") }

func (d *deployment) registerSoftware(n int, v rollout.WeightVersion, software rollout.SoftwareVersion) {
	name := fmt.Sprintf("s%d", n)
	d.servers.Put(rollout.Change[rollout.RegisteredServer]{Key: name, Value: rollout.RegisteredServer{
		Name: rollout.ServerName(name), Service: "pool", Address: d.address, Slots: 4, Software: software,
		Versions: map[rollout.ModelName]rollout.WeightVersion{model: v},
	}})
}

func (d *deployment) start(vm rollout.VMName) {
	log := logrus.New()
	log.SetOutput(&d.log)
	logger := event.NewLogger(log)
	access := d.store.ForVM(vm)
	f := &fakeListener{closed: make(chan struct{}), terminate: make(chan os.Signal, 1), hangup: make(chan os.Signal, 1)}
	g := gateway.New(gateway.Config{
		VM: vm, Zone: "z", Partitions: partitions, RecordBytes: 1 << 16, CallBytes: 1 << 20,
		Grace: 2 * time.Second, OrderLease: 200 * time.Millisecond, ChecksFence: true, MinMembershipLease: 200 * time.Millisecond, Duties: d.duties,
		Journal: access, Groups: access, Operator: d.operator, Servers: d.servers, Engine: d.engines, Scorer: d.scorers, Control: d.engines, Limits: d.engines, Departures: d.engines, Loads: d.engines,
		Revocation: d.revocation,
		NewListener: func(r *relay.Relay, m *jobs.Manager, _ func() bool) gateway.Listener {
			f.requests, f.manager = r, m
			return f
		},
		Terminate: f.terminate, Hangup: f.hangup,
		Reload: func() ([]string, []string, error) {
			f.reloads.Add(1)
			return nil, nil, nil
		},
		Logger: logger, Sink: event.NewSink(io.Discard), Metrics: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.listeners[vm], d.stop[vm] = f, cancel
	done := make(chan struct{})
	d.done[vm] = done
	d.group.Go(func() {
		defer close(done)
		_ = g.Run(ctx)
	})
}

// kill stops a VM as a power failure does: without notifying the other VMs or the
// store.
func (d *deployment) kill(vm rollout.VMName) {
	d.stop[vm]()
	// A call that is still in flight must not join the group again.
	d.store.SetDown(vm, true)
	d.store.RemoveMember(vm)
}

func newJob(id string, samples int, minVersion rollout.WeightVersion) job.Submission {
	s := job.Submission{ID: id, Host: "a.example", Model: model, MinVersion: minVersion, At: time.Now(), Retention: time.Minute}
	for i := range samples {
		s.Samples = append(s.Samples, job.Sample{ID: fmt.Sprintf("%s-%d", id, i), Group: fmt.Sprint(i / 4), Path: "/p/x", Body: []byte(fmt.Sprint(id, i))})
	}
	return s
}

// readComplete reads the results of a job from a VM until all are there, and checks
// each of them.
func (d *deployment) readComplete(t *testing.T, vm rollout.VMName, s job.Submission) []job.ResultEntry {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var all []job.ResultEntry
	for len(all) < len(s.Samples) {
		r, err := d.listeners[vm].manager.Results(ctx, tenancy.Caller{}, s.ID, len(all), 200*time.Millisecond)
		if err != nil && rollout.FailureOf(err).Reason == rollout.ReasonLogUnavailable {
			continue
		}
		assert.NoError(t, "read results", err)
		assert.Equal(t, "total", r.Total, len(s.Samples))
		all = append(all, r.Results...)
	}
	seen := map[string]bool{}
	for _, l := range all {
		assert.True(t, l.Sample+" is listed once", !seen[l.Sample])
		seen[l.Sample] = true
		assert.Equal(t, "outcome", l.Outcome, job.Done)
		assert.Equal(t, "text", string(l.Text), d.engines.Output(l.Sample))
		for _, v := range l.Versions {
			assert.True(t, "version is at least the minimum", v >= s.MinVersion)
		}
		assert.True(t, "result has versions", len(l.Versions) > 0)
	}
	return all
}

func (d *deployment) submit(t *testing.T, vm rollout.VMName, s job.Submission) {
	t.Helper()
	assert.NoError(t, "submit", d.listeners[vm].manager.Submit(context.Background(), tenancy.Caller{}, s))
}

func TestJobIsCompleteOnEveryVM(t *testing.T) {
	d := deploy(t, 4, time.Millisecond, "a", "b", "c")
	s := newJob("j1", 20, 1)
	d.submit(t, "a", s)
	d.submit(t, "b", s)
	first := d.readComplete(t, "a", s)
	for _, vm := range []rollout.VMName{"b", "c"} {
		assert.Equal(t, "results at "+string(vm), d.readComplete(t, vm, s), first)
	}
	body, err := d.listeners["c"].manager.SampleBody(context.Background(), tenancy.Caller{}, "j1", "j1-7")
	assert.NoError(t, "body", err)
	assert.Equal(t, "body", string(body), "j17")
	_, err = d.listeners["c"].manager.Results(context.Background(), tenancy.Caller{}, "unknown", 0, 0)
	assert.ErrorContains(t, "unknown job", err, "StepUnknown")
}

func TestOwnersFail(t *testing.T) {
	d := deploy(t, 120, 5*time.Millisecond, "a", "b", "c")
	var all []job.Submission
	for n := range partitions * 2 {
		all = append(all, newJob(fmt.Sprint("lost", n), 6, 1))
		d.submit(t, "a", all[n])
	}
	time.Sleep(300 * time.Millisecond)
	d.kill("a")
	d.kill("b")
	for _, s := range all {
		d.readComplete(t, "c", s)
	}
}

// TestPartitionsMoveWhileJobsArrive lets VMs join while jobs arrive, so that VMs
// take jobs over and hand them on before the samples wait for their server. If a
// canceled sample kept its slot on a server, later jobs would not run.
func TestPartitionsMoveWhileJobsArrive(t *testing.T) {
	d := deploy(t, 20, time.Millisecond, "a")
	var all []job.Submission
	for n := range 12 {
		all = append(all, newJob(fmt.Sprint("moved", n), 40, 1))
		d.submit(t, "a", all[n])
		if n%3 == 2 {
			d.start(rollout.VMName(fmt.Sprint("joins", n)))
			time.Sleep(15 * time.Millisecond)
		}
	}
	for n := 2; n < 12; n += 3 {
		d.kill(rollout.VMName(fmt.Sprint("joins", n)))
	}
	for _, s := range all {
		d.readComplete(t, "a", s)
	}
}

func TestAllVMsFail(t *testing.T) {
	d := deploy(t, 100, 5*time.Millisecond, "a", "b")
	s := newJob("power", 12, 1)
	d.submit(t, "a", s)
	time.Sleep(450 * time.Millisecond)
	d.kill("a")
	d.kill("b")
	d.start("n")
	d.readComplete(t, "n", s)
}

func TestStoreLosesReplies(t *testing.T) {
	d := deploy(t, 3, time.Millisecond, "a", "b")
	s := newJob("replies", 10, 1)
	d.store.LoseReplies(job.TopicSubmission, 2)
	d.store.LoseReplies(job.TopicIndex, 2)
	d.submit(t, "a", s)
	d.store.LoseReplies(job.TopicIndex, 3)
	d.store.LoseReplies(job.TopicText, 3)
	first := d.readComplete(t, "a", s)
	assert.Equal(t, "results at the other VM", d.readComplete(t, "b", s), first)
}

func TestStoreUnreachable(t *testing.T) {
	d := deploy(t, 30, 5*time.Millisecond, "a", "b")
	s := newJob("away", 8, 1)
	d.submit(t, "a", s)
	d.store.SetDown("a", true)
	d.store.SetDown("b", true)
	err := d.listeners["a"].manager.Submit(context.Background(), tenancy.Caller{}, newJob("refused", 2, 1))
	assert.Equal(t, "verdict of a refused job", rollout.VerdictOf(err), rollout.NotRun)
	_, err = d.listeners["b"].manager.Results(context.Background(), tenancy.Caller{}, "refused", 0, 0)
	assert.Equal(t, "reason at a VM that can't read the store", rollout.FailureOf(err).Reason, rollout.ReasonLogUnavailable)
	time.Sleep(300 * time.Millisecond)
	d.store.SetDown("a", false)
	d.store.SetDown("b", false)
	d.readComplete(t, "b", s)
}

func TestUncertainSubmissionIsNotRefused(t *testing.T) {
	t.Run("the acceptance may have been stored", func(t *testing.T) {
		d := deploy(t, 3, time.Millisecond, "a")
		d.store.LoseReplies(job.TopicIndex, 100)
		err := d.listeners["a"].manager.Submit(context.Background(), tenancy.Caller{}, newJob("maybe", 2, 1))
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.MayHaveRun)
	})
	t.Run("only the submission may have been stored", func(t *testing.T) {
		d := deploy(t, 3, time.Millisecond, "a")
		d.store.LoseReplies(job.TopicSubmission, 100)
		err := d.listeners["a"].manager.Submit(context.Background(), tenancy.Caller{}, newJob("never", 2, 1))
		assert.Equal(t, "verdict", rollout.VerdictOf(err), rollout.NotRun)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, "runs of a refused job", d.engines.Runs("never-0"), 0)
	})
}

// TestLapsedOwnerStartsNothing checks that a VM whose group membership has lapsed
// starts no samples although it still reads the index: its jobs belong to the
// other VM. It runs jobs again once it is readmitted.
func TestLapsedOwnerStartsNothing(t *testing.T) {
	d := deploy(t, 30, 5*time.Millisecond, "a", "b")
	first := newJob("before", 4, 1)
	d.submit(t, "a", first)
	d.readComplete(t, "a", first)
	d.store.Expel("a")
	time.Sleep(time.Second)
	var all []job.Submission
	for n := range partitions * 2 {
		all = append(all, newJob(fmt.Sprint("lapsed", n), 4, 1))
		d.submit(t, "b", all[n])
	}
	for _, s := range all {
		d.readComplete(t, "b", s)
		for _, e := range s.Samples {
			assert.Equal(t, "runs of "+e.ID, d.engines.Runs(e.ID), 1+d.movesFromSlowServers(e.ID))
		}
	}
	d.store.Admit("a")
	d.kill("b")
	last := newJob("after", 8, 1)
	d.submit(t, "a", last)
	d.readComplete(t, "a", last)
}

// TestSignalsBeforeStart checks that signals received before the VM runs are handled.
func TestSignalsBeforeStart(t *testing.T) {
	d := deploy(t, 3, time.Millisecond)
	d.start("a")
	d.listeners["a"].hangup <- syscall.SIGHUP
	for end := time.Now().Add(testTimeout); d.listeners["a"].reloads.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("reloads: got 0, want 1")
		}
	}
	d.listeners["a"].terminate <- syscall.SIGTERM
	select {
	case <-d.done["a"]:
	case <-time.After(testTimeout):
		t.Errorf("run: got no end, want one after SIGTERM")
	}
}

// TestIdleVMsDoNotRead checks that VMs which own no partition and get no requests
// do not read the index, because all VMs share the store's rate limit.
func TestIdleVMsDoNotRead(t *testing.T) {
	vms := []rollout.VMName{"a", "b", "c", "d", "e", "f", "g"}
	d := deploy(t, 20, time.Millisecond, vms...)
	time.Sleep(200 * time.Millisecond)
	var all []job.Submission
	for n := range partitions * 2 {
		all = append(all, newJob(fmt.Sprint("idle", n), 10, 1))
		d.submit(t, "a", all[n])
	}
	for _, s := range all {
		d.readComplete(t, "a", s)
	}
	readers, submissions := 0, 0
	for _, vm := range vms {
		if d.store.Reads(vm, job.TopicIndex) > 0 {
			readers++
		}
		submissions += d.store.Reads(vm, job.TopicSubmission)
	}
	assert.AtMost(t, "VMs that read the index: the owners and the one that got requests", readers, partitions+1)
	assert.AtMost(t, "reads of submissions", submissions, 2*len(all))
}

func TestEndedJobIsNotRun(t *testing.T) {
	d := deploy(t, 2000, 5*time.Millisecond, "a", "b")
	s := newJob("ended", 4, 1)
	d.submit(t, "a", s)
	time.Sleep(200 * time.Millisecond)
	assert.NoError(t, "end", d.listeners["b"].manager.End(context.Background(), tenancy.Caller{}, "ended"))
	assert.NoError(t, "end again", d.listeners["a"].manager.End(context.Background(), tenancy.Caller{}, "ended"))
	time.Sleep(300 * time.Millisecond)
	runs := d.engines.Runs("ended-0")
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, "runs after the end", d.engines.Runs("ended-0"), runs)
}

func TestServerFails(t *testing.T) {
	d := deploy(t, 10, time.Millisecond, "a")
	broken := rollout.Fail(rollout.MayHaveRun, rollout.ReasonTruncated, io.ErrUnexpectedEOF)
	d.engines.SetFailure("s0", broken)
	d.engines.SetFailure("s1", broken)
	s := newJob("broken", 12, 1)
	d.submit(t, "a", s)
	d.readComplete(t, "a", s)
}

// TestTextWithoutEndIsGivenUp guards against servers whose events never end and use up the
// memory of the VM: another server begins the text anew.
func TestTextWithoutEndIsGivenUp(t *testing.T) {
	d := deploy(t, 1<<30, 0, "a")
	d.submit(t, "a", newJob("endless", 1, 1))
	begun := func() (n int) {
		for _, r := range d.engines.History("endless-0") {
			if r.After == 0 {
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(testTimeout); begun() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("runs from the start: got %d, want 2", begun())
		}
	}
}

func TestVersionsReachEngines(t *testing.T) {
	d := deploy(t, 5, time.Millisecond, "a", "b")
	for v := rollout.WeightVersion(2); v <= 4; v++ {
		d.operator.Put(rollout.Change[rollout.Declared]{Key: "version/m", Value: rollout.Declared{Named: &rollout.NamedVersion{Model: model, Version: v}}})
		s := newJob(fmt.Sprint("step", v), 8, v-1)
		d.submit(t, "b", s)
		d.readComplete(t, "a", s)
		if v == 3 {
			d.kill("a")
			d.start("a2")
			d.listeners["a"] = d.listeners["a2"]
		}
	}
	fences := map[uint64]bool{}
	for _, o := range d.engines.Orders() {
		assert.True(t, "each order has its own fencing token", !fences[o.Fence])
		fences[o.Fence] = true
	}
	for _, left := range d.engines.OrderTimes() {
		// The lease of another VM's orders is longer by this time.
		assert.True(t, "an order has at most 700 ms to arrive", left > 0 && left <= 700*time.Millisecond)
	}
}
