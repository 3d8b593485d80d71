// Package directory tells the other VMs where this one takes requests and whether it reaches
// backend servers, and knows the same of them. Announcements are records of a journal topic.
// They are only read while they are needed, from the offset of an announcement of this VM
// that is old enough, so that VMs that are gone drop out and no clocks are compared.
package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/isolation"
)

const (
	// minInterval and maxInterval bound the time between two announcements of a VM. VMs that
	// start together spread over it, because the store appends them one after the other.
	minInterval = 3 * time.Second
	maxInterval = 5 * time.Second
	// maxStartDelay bounds the delay of the first announcement.
	maxStartDelay = 500 * time.Millisecond
	// window is how far back announcements are read: a VM may miss one.
	window = 2 * maxInterval
	// startBacklog is the number of records that a VM that has just started reads before its
	// first own one, and startAge the age up to which it believes them: clocks differ.
	startBacklog = 2048
	startAge     = window + 5*time.Second
	// refreshInterval is the least time between two reads.
	refreshInterval = 500 * time.Millisecond
	// retryDelay is the delay after a failed append.
	retryDelay = 250 * time.Millisecond
	// callTimeout limits a call to the journal.
	callTimeout = time.Second
	// readTimeout limits the reads for one request, which waits meanwhile.
	readTimeout  = 100 * time.Millisecond
	maxReadBytes = 256 << 10
)

var partition = rollout.Partition{Topic: Topic}

// Config configures a Directory.
type Config struct {
	VM   rollout.VMName
	Zone rollout.Zone
	// Address takes requests of other VMs.
	Address string
	Journal rollout.Journal
	// Reaches reports whether this VM reaches backend servers; Changed receives a value when
	// that changes.
	Reaches func() bool
	Changed <-chan struct{}
	Logger  *event.Logger
}

// ownRecord is where an announcement of this VM was appended, and when.
type ownRecord struct {
	offset rollout.Offset
	at     time.Time
}

// Directory announces this VM and knows the others. Run must be running.
type Directory struct {
	config  Config
	leaving chan struct{}
	leave   sync.Once
	// startedAt and announced are what announcements state as Started and Number. Only Run
	// uses them.
	startedAt time.Time
	announced uint64

	// refreshing is held while the journal is read.
	refreshing chan struct{}

	mu sync.Mutex
	// own holds the newest announcements of this VM, the first one older than window.
	own         []ownRecord
	peers       []isolation.Peer
	refreshedAt time.Time
	failing     bool
}

// New returns a Directory that knows no other VMs.
func New(c Config) *Directory {
	return &Directory{config: c, startedAt: time.Now(), leaving: make(chan struct{}), refreshing: make(chan struct{}, 1)}
}

// Leave announces that this VM takes no further requests.
func (d *Directory) Leave() { d.leave.Do(func() { close(d.leaving) }) }

// Run announces this VM periodically and at each change until the context ends. It always
// returns nil.
func (d *Directory) Run(ctx context.Context) error {
	pause.For(ctx, rand.N(maxStartDelay))
	timer := time.NewTimer(0)
	defer timer.Stop()
	leaving := d.leaving
	for ctx.Err() == nil {
		if err := d.announce(ctx); err != nil && ctx.Err() == nil {
			pause.For(ctx, retryDelay)
			continue
		}
		timer.Reset(minInterval + rand.N(maxInterval-minInterval))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-d.config.Changed:
		case <-leaving:
			leaving = nil
		}
	}
	return nil
}

func (d *Directory) announce(ctx context.Context) error {
	d.announced++
	a := announcement{
		VM: d.config.VM, Zone: d.config.Zone, Address: d.config.Address, Form: Form, Reaches: d.config.Reaches(), At: time.Now().UnixMilli(),
		Started: d.startedAt.UnixMilli(), Number: d.announced,
	}
	select {
	case <-d.leaving:
		a.Leaving = true
	default:
	}
	data, err := cbor.Marshal(a)
	if err != nil {
		return rollout.Wrapf(err, "encode an announcement")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	offset, err := d.config.Journal.Append(ctx, partition, [][]byte{data})
	d.reportStatus(err)
	if err != nil {
		return err
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own = append(d.own, ownRecord{offset: offset, at: now})
	for len(d.own) > 1 && now.Sub(d.own[1].at) >= window {
		d.own = d.own[1:]
	}
	return nil
}

// Peers returns the VMs that announced themselves lately, without this one. It reads the
// journal unless that was read a moment ago; if that fails, it returns those last known.
func (d *Directory) Peers(ctx context.Context) []isolation.Peer {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	select {
	case d.refreshing <- struct{}{}:
		d.refresh(ctx)
		<-d.refreshing
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers
}

func (d *Directory) refresh(ctx context.Context) {
	d.mu.Lock()
	now := time.Now()
	fresh, known := now.Sub(d.refreshedAt) < refreshInterval, len(d.own) > 0
	var oldest ownRecord
	if known {
		oldest = d.own[0]
	}
	d.mu.Unlock()
	if fresh || !known {
		return
	}
	from := oldest.offset
	if now.Sub(oldest.at) < window {
		from -= min(from, startBacklog)
	}
	newest, err := d.read(ctx, from, oldest.offset)
	d.reportStatus(err)
	if err != nil {
		return
	}
	delete(newest, d.config.VM)
	peers := make([]isolation.Peer, 0, len(newest))
	for _, a := range newest {
		if !a.Leaving {
			peers = append(peers, isolation.Peer{VM: a.VM, Zone: a.Zone, Address: a.Address, Reaches: a.Reaches})
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers, d.refreshedAt = peers, now
}

// read returns the newest announcement of each VM from an offset on. Those before the offset
// recent count only if they are recent by the clocks.
func (d *Directory) read(ctx context.Context, from, recent rollout.Offset) (map[rollout.VMName]announcement, error) {
	newest := map[rollout.VMName]announcement{}
	for {
		result, err := d.config.Journal.Read(ctx, partition, from, maxReadBytes, 0)
		var trimmed *rollout.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from {
			from = trimmed.First
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, r := range result.Records {
			from = r.Offset + 1
			a, err := decode(r.Data)
			if err != nil {
				d.config.Logger.Write(event.RecordUnreadable, event.Fields{"Feed": partition, "Key": r.Offset, "Error": err})
				continue
			}
			if r.Offset < recent && time.Since(time.UnixMilli(a.At)).Abs() > startAge {
				continue
			}
			if !a.precedes(newest[a.VM]) {
				newest[a.VM] = a
			}
		}
		if len(result.Records) == 0 || from >= result.Next {
			return newest, nil
		}
	}
}

func (d *Directory) reportStatus(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if (err != nil) == d.failing {
		return
	}
	if d.failing = err != nil; d.failing {
		d.config.Logger.Write(event.PeersUnknown, event.Fields{"Error": err})
		return
	}
	d.config.Logger.Write(event.PeersKnown, event.Fields{})
}
