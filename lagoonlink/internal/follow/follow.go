// Package follow is the duty that keeps the configuration in force on this VM.
// The first VMs of each zone read the platform's log; the others hear of a new
// version on the probes and fetch it from the peer that has it. A VM whose log
// can't be read goes on with what it has.
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

// Peers is what the duty needs of the node.
type Peers interface {
	Roster() membership.Roster
	SetFacts(membership.Facts)
	Ask(ctx context.Context, address string, b wire.Body) (wire.Body, error)
}

// Config configures the duty.
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

// Numbers of the duty.
const (
	// tailersPerZone VMs of each zone read the log as records come.
	tailersPerZone = 2
	readLimit      = 256
	readWait       = time.Second
	readTimeout    = 5 * time.Second
	// pollEvery is how often the other VMs read the log all the same.
	pollEvery    = 10 * time.Second
	retryEvery   = 500 * time.Millisecond
	fetchTimeout = 2 * time.Second
	tailKey      = "tail"
	// digestShown is how much of a digest the probes carry.
	digestShown = 16
	tickEvery   = 100 * time.Millisecond
)

type heard struct {
	address string
	facts   membership.Facts
}

type readDone struct {
	result rollout.ReadResult
	err    error
}

// Follower is the duty.
type Follower struct {
	config  Config
	heard   chan heard
	state   atomic.Pointer[configuration.State]
	fold    *configuration.Fold
	failing bool
	readAt  time.Time
	// anchor is the newest anchor seen, and anchored when it was seen.
	anchor   rollout.Offset
	anchored time.Time
	warned   bool
	stopped  bool
	// shown is the first offset whose outcome was not logged yet.
	shown rollout.Offset
	// lastRead is when the log was last read, for the status page.
	lastRead atomic.Int64
}

// New returns the duty.
func New(c Config) *Follower {
	return &Follower{config: c, heard: make(chan heard, 64), fold: configuration.NewFold(c.Checks)}
}

// Heard takes a peer's facts; it never blocks.
func (f *Follower) Heard(from membership.Member, facts membership.Facts) {
	if v := f.config.InForce.Current(); v != nil && facts.Version <= v.Version {
		return
	}
	if facts.Version == 0 {
		return
	}
	select {
	case f.heard <- heard{from.Address, facts}:
	default:
	}
}

// State returns what was folded so far, for peers that ask.
func (f *Follower) State() (configuration.State, bool) {
	if s := f.state.Load(); s != nil {
		return *s, true
	}
	return configuration.State{}, false
}

// LastRead returns when the log was last read.
func (f *Follower) LastRead() time.Time { return time.UnixMilli(f.lastRead.Load()) }

// Run is the duty's loop. Reads run apart, one at a time, so that a slow log
// does not hold up what peers tell.
func (f *Follower) Run(ctx context.Context) error {
	reads := make(chan readDone, 1)
	reading := false
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-f.heard:
			f.fetch(ctx, h)
		case r := <-reads:
			reading = false
			f.took(r)
		case now := <-tick.C:
			if !reading && f.due(now) {
				reading = true
				f.readAt = now
				go func(from rollout.Offset) { reads <- f.read(ctx, from) }(f.fold.Next())
			}
			f.warn(now, started)
			f.snapshot(ctx, now)
		}
	}
}

// due reports whether the log should be read now.
func (f *Follower) due(now time.Time) bool {
	since := now.Sub(f.readAt)
	switch {
	case f.failing:
		return since > retryEvery
	case f.tails() || f.config.InForce.Current() == nil:
		return true
	}
	return since > pollEvery
}

// tails reports whether this VM is one of those that read the log as it grows.
func (f *Follower) tails() bool { return f.rank() < tailersPerZone }

func (f *Follower) rank() int {
	ranked := f.config.Peers.Roster().Rank(tailKey, f.config.Zone)
	for i, m := range ranked {
		if m.Name == f.config.VM {
			return i
		}
	}
	return len(ranked)
}

func (f *Follower) read(ctx context.Context, from rollout.Offset) readDone {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := f.config.Log.Read(ctx, rollout.StreamConfiguration, from, readLimit, readWait)
	return readDone{result: r, err: err}
}

func (f *Follower) took(r readDone) {
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
	f.fold.Read(r.result)
	f.publish("log")
}

// publish puts the folded state in force.
func (f *Follower) publish(source string) {
	if at, stopped := f.fold.Blocked(); stopped && !f.stopped {
		f.stopped = true
		f.config.Logger.Write(event.SchemaUnknown, event.Fields{"Offset": at})
	}
	s, ok := f.fold.State()
	if !ok {
		return
	}
	f.state.Store(&s)
	f.noteAnchor()
	f.logRefused(s)
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
		f.config.Peers.SetFacts(membership.Facts{Version: s.Version, Digest: s.Digest[:digestShown]})
		f.config.Logger.Write(event.ConfigurationInForce, event.Fields{"Version": s.Version, "Source": source})
	}
}

func (f *Follower) logRefused(s configuration.State) {
	for _, o := range s.Outcomes {
		if o.Offset >= f.shown && o.Result != configuration.Accepted {
			f.config.Logger.Write(event.PublicationRefused, event.Fields{"ID": o.ID, "Result": o.Result, "Author": o.Author, "Detail": o.Detail})
		}
	}
	f.shown = s.Next
}

func (f *Follower) noteAnchor() {
	if a := f.fold.Anchor(); a > f.anchor || f.anchored.IsZero() {
		f.anchor, f.anchored = a, time.Now()
	}
}

// fetch takes the state from a peer that is ahead.
func (f *Follower) fetch(ctx context.Context, h heard) {
	if v := f.config.InForce.Current(); v != nil && h.facts.Version <= v.Version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := f.config.Peers.Ask(ctx, h.address, wire.Body{FetchState: &wire.FetchState{}})
	if err != nil || answer.State == nil {
		return
	}
	if f.fold.Adopt(*answer.State) {
		f.config.Logger.Write(event.StateAdopted, event.Fields{"From": h.address, "Version": answer.State.Version})
		f.publish("peer")
	}
}

// noConfigurationAfter is how long a VM waits before it says that it has none.
const noConfigurationAfter = 5 * time.Second

func (f *Follower) warn(now, started time.Time) {
	if f.warned || f.config.InForce.Current() != nil || now.Sub(started) < noConfigurationAfter {
		return
	}
	f.warned = true
	f.config.Logger.Write(event.NoConfiguration, event.Fields{})
}

// snapshot appends the state before the log drops the record that a starting
// VM would need. The zones' first readers notice one after the other; several
// snapshots do no harm.
func (f *Follower) snapshot(ctx context.Context, now time.Time) {
	s, ok := f.State()
	if !ok || s.Version == 0 || f.failing || f.anchored.IsZero() {
		return
	}
	rank := f.rank()
	stagger := time.Duration(rank) * f.config.SnapshotEvery / 10
	if rank >= tailersPerZone || now.Sub(f.anchored) < f.config.SnapshotEvery+stagger {
		return
	}
	f.anchored = now
	data, err := configuration.EncodeRecord(configuration.Record{Snapshot: &s})
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		_, err = f.config.Log.Append(ctx, rollout.StreamConfiguration, data)
	}
	if err != nil {
		f.anchored = now.Add(-f.config.SnapshotEvery + retryEvery)
		f.config.Logger.Write(event.SnapshotFailed, event.Fields{"Error": err})
		return
	}
	f.config.Logger.Write(event.SnapshotAppended, event.Fields{"Version": s.Version})
}
