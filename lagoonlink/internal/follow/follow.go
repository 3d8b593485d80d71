// Package follow keeps the configuration in force on this VM up to date. The first
// VMs of each zone read the platform's log. The others learn of a new version from
// probes and fetch it from the peer that has it. A VM that can't read the log
// keeps its current configuration.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/inforce"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/configuration"
	"lagoonlink.org/rollout/membership"
	"lagoonlink.org/rollout/wire"
)

// Peers gives access to the other VMs.
type Peers interface {
	Roster() membership.Roster
	SetFacts(membership.Facts)
	Call(ctx context.Context, address string, b wire.Body) (wire.Body, error)
}

// Config configures a Follower.
type Config struct {
	VM            rollout.VMName
	Zone          rollout.Zone
	Log           rollout.Log
	Peers         Peers
	InForce       *inforce.Holder
	Logger        *event.Logger
	Checks        configuration.Checks
	SnapshotEvery time.Duration
}

// Read, retry and snapshot settings.
const (
	// tailersPerZone is how many VMs of each zone read the log continuously.
	tailersPerZone = 2
	readLimit      = 256
	readWait       = time.Second
	readTimeout    = 5 * time.Second
	// pollInterval is how often the other VMs read the log in addition to
	// following their peers.
	pollInterval  = 10 * time.Second
	retryInterval = 500 * time.Millisecond
	fetchTimeout  = 2 * time.Second
	tailKey       = "tail"
	// digestPrefixLength is how many characters of a digest the probes carry.
	digestPrefixLength = 16
	tickInterval       = 100 * time.Millisecond
)

type peerFacts struct {
	address string
	facts   membership.Facts
}

type readResult struct {
	result rollout.ReadResult
	err    error
}

// Follower keeps the configuration in force up to date.
type Follower struct {
	config        Config
	peerFacts     chan peerFacts
	state         atomic.Pointer[configuration.State]
	fold          *configuration.Fold
	failing       bool
	readStartedAt time.Time
	// recoveryOffset is the latest value of [configuration.Fold.RecoveryOffset].
	// recoveryOffsetAt is the time from which the delay of the next snapshot is
	// counted: when this VM first saw that value or, later, appended a snapshot.
	// After a failed append it is set back so that the next try follows soon.
	recoveryOffset        rollout.Offset
	recoveryOffsetAt      time.Time
	warnedNoConfiguration bool
	loggedBlocked         bool
	// loggedUntil is the first offset whose outcome has not been logged yet.
	loggedUntil rollout.Offset
	// lastRead is when the log was last read, in Unix milliseconds. The status
	// page shows it.
	lastRead atomic.Int64
}

// New returns a Follower that has not read anything yet.
func New(c Config) *Follower {
	return &Follower{config: c, peerFacts: make(chan peerFacts, 64), fold: configuration.NewFold(c.Checks)}
}

// QueueFacts queues a peer's facts if their version is newer than the one in
// force. It never blocks; facts are dropped while the queue is full.
func (f *Follower) QueueFacts(from membership.Member, facts membership.Facts) {
	if v := f.config.InForce.Current(); v != nil && facts.Version <= v.Version {
		return
	}
	if facts.Version == 0 {
		return
	}
	select {
	case f.peerFacts <- peerFacts{from.Address, facts}:
	default:
	}
}

// State returns the state folded from the log so far, for peers that request it.
// It returns false if there is none yet.
func (f *Follower) State() (configuration.State, bool) {
	if s := f.state.Load(); s != nil {
		return *s, true
	}
	return configuration.State{}, false
}

// LastRead returns when the log was last read.
func (f *Follower) LastRead() time.Time { return time.UnixMilli(f.lastRead.Load()) }

// Run reads the log and fetches state from peers until ctx is done. The log is
// read in a separate goroutine, one read at a time, so that a slow log does not
// delay the handling of peers' facts.
func (f *Follower) Run(ctx context.Context) error {
	reads := make(chan readResult, 1)
	reading := false
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-f.peerFacts:
			f.fetch(ctx, p)
		case r := <-reads:
			reading = false
			f.handleRead(r)
		case now := <-tick.C:
			if !reading && f.readDue(now) {
				reading = true
				f.readStartedAt = now
				go func(from rollout.Offset) { reads <- f.read(ctx, from) }(f.fold.Next())
			}
			f.warnIfUnconfigured(now, started)
			f.snapshot(ctx, now)
		}
	}
}

func (f *Follower) readDue(now time.Time) bool {
	since := now.Sub(f.readStartedAt)
	switch {
	case f.failing:
		return since > retryInterval
	case f.isTailer() || f.config.InForce.Current() == nil:
		return true
	}
	return since > pollInterval
}

// isTailer reports whether this VM reads the log continuously.
func (f *Follower) isTailer() bool { return f.rank() < tailersPerZone }

func (f *Follower) rank() int {
	ranked := f.config.Peers.Roster().Rank(tailKey, f.config.Zone)
	for i, m := range ranked {
		if m.Name == f.config.VM {
			return i
		}
	}
	return len(ranked)
}

func (f *Follower) read(ctx context.Context, from rollout.Offset) readResult {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := f.config.Log.Read(ctx, rollout.StreamConfiguration, from, readLimit, readWait)
	return readResult{result: r, err: err}
}

func (f *Follower) handleRead(r readResult) {
	if r.err != nil {
		if !f.failing {
			f.config.Logger.Write(event.LogUnreadable, event.Fields{"Error": r.err})
		}
		f.failing = true
		return
	}
	if f.failing {
		f.config.Logger.Write(event.LogReadable, event.Fields{})
	}
	f.failing = false
	f.lastRead.Store(time.Now().UnixMilli())
	f.fold.Apply(r.result)
	f.publish("log")
}

// publish puts the folded state in force.
func (f *Follower) publish(source string) {
	if at, blocked := f.fold.Blocked(); blocked && !f.loggedBlocked {
		f.loggedBlocked = true
		f.config.Logger.Write(event.SchemaUnknown, event.Fields{"Offset": at})
	}
	s, ok := f.fold.State()
	if !ok {
		return
	}
	f.state.Store(&s)
	f.updateRecoveryOffset()
	f.logRefusedPublications(s)
	if s.Version == 0 {
		return
	}
	if v := f.config.InForce.Current(); v != nil && v.Version >= s.Version {
		return
	}
	c, err := configuration.Decode(s.Document)
	if err != nil {
		f.config.Logger.Write(event.ConfigurationUnusable, event.Fields{"Version": s.Version, "Error": err})
		return
	}
	if f.config.InForce.Set(&inforce.View{Version: s.Version, Digest: s.Digest, Configuration: c, Since: time.Now()}) {
		f.config.Peers.SetFacts(membership.Facts{Version: s.Version, Digest: s.Digest[:digestPrefixLength]})
		f.config.Logger.Write(event.ConfigurationInForce, event.Fields{"Version": s.Version, "Source": source})
	}
}

func (f *Follower) logRefusedPublications(s configuration.State) {
	for _, o := range s.Outcomes {
		if o.Offset >= f.loggedUntil && o.Result != configuration.Accepted {
			f.config.Logger.Write(event.PublicationRefused, event.Fields{"ID": o.ID, "Result": o.Result, "Author": o.Author, "Detail": o.Detail})
		}
	}
	f.loggedUntil = s.Next
}

func (f *Follower) updateRecoveryOffset() {
	if offset := f.fold.RecoveryOffset(); offset > f.recoveryOffset || f.recoveryOffsetAt.IsZero() {
		f.recoveryOffset, f.recoveryOffsetAt = offset, time.Now()
	}
}

// fetch requests the state from a peer whose version is newer than the one in
// force.
func (f *Follower) fetch(ctx context.Context, p peerFacts) {
	if v := f.config.InForce.Current(); v != nil && p.facts.Version <= v.Version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := f.config.Peers.Call(ctx, p.address, wire.Body{FetchState: &wire.FetchState{}})
	if err != nil || response.State == nil {
		return
	}
	if f.fold.Adopt(*response.State) {
		f.config.Logger.Write(event.StateAdopted, event.Fields{"From": p.address, "Version": response.State.Version})
		f.publish("peer")
	}
}

// noConfigurationDelay is how long a VM without a configuration waits before it
// logs this.
const noConfigurationDelay = 5 * time.Second

func (f *Follower) warnIfUnconfigured(now, started time.Time) {
	if f.warnedNoConfiguration || f.config.InForce.Current() != nil || now.Sub(started) < noConfigurationDelay {
		return
	}
	f.warnedNoConfiguration = true
	f.config.Logger.Write(event.NoConfiguration, event.Fields{})
}

// snapshot appends the state once SnapshotEvery has passed since the newest
// accepted publication or snapshot, so that a starting VM finds the state even
// after the log dropped old records. The delay grows with the VM's rank so that
// the tailers do not append at the same time; duplicate snapshots are harmless.
func (f *Follower) snapshot(ctx context.Context, now time.Time) {
	s, ok := f.State()
	if !ok || s.Version == 0 || f.failing || f.recoveryOffsetAt.IsZero() {
		return
	}
	rank := f.rank()
	stagger := time.Duration(rank) * f.config.SnapshotEvery / 10
	if rank >= tailersPerZone || now.Sub(f.recoveryOffsetAt) < f.config.SnapshotEvery+stagger {
		return
	}
	f.recoveryOffsetAt = now
	data, err := configuration.EncodeRecord(configuration.Record{Snapshot: &s})
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		_, err = f.config.Log.Append(ctx, rollout.StreamConfiguration, data)
	}
	if err != nil {
		f.recoveryOffsetAt = now.Add(-f.config.SnapshotEvery + retryInterval)
		f.config.Logger.Write(event.SnapshotFailed, event.Fields{"Error": err})
		return
	}
	f.config.Logger.Write(event.SnapshotAppended, event.Fields{"Version": s.Version})
}
