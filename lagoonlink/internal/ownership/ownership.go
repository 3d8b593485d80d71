// Package ownership is the duty that keeps this VM a member of the group that
// divides the partitions of jobs. A partition's owner runs the samples of its
// jobs. Two owners for a moment cost work and never a promise, for the first
// record of a result counts.
package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/uptime"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/candidacy"
)

// Numbers of the membership.
const (
	// renewals is how many joins fit into a lease, so that one lost join does not
	// end the membership.
	renewals = 4
	// leaveTimeout bounds the last call of a process that stops.
	leaveTimeout = time.Second
)

// Config configures the duty.
type Config struct {
	VM     rollout.VMName
	Groups rollout.Groups
	Group  string
	Topics []string
	Lease  time.Duration
	// Candidate tells whether this VM should be a member.
	Candidate candidacy.Candidate
	Logger    *event.Logger
}

// Owner is the duty.
type Owner struct {
	config Config

	mu      sync.Mutex
	current rollout.Assignment
	left    bool
	// member tells that this VM takes part; asked is when it last looked at who does.
	member bool
	asked  time.Duration
	// renewed is when the newest join that succeeded was begun, by package uptime.
	renewed  time.Duration
	watchers []chan struct{}
}

// New returns the duty.
func New(c Config) *Owner { return &Owner{config: c, member: c.Candidate.Always()} }

// Current returns what this VM owns, as far as it knows. A VM that can't reach
// the store keeps what it had: it goes on with its work until it learns that
// another VM does it.
func (o *Owner) Current() rollout.Assignment {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// Valid reports whether the membership can't have lapsed yet. A VM whose membership
// may have lapsed begins no new work, for another VM may own the partitions.
func (o *Owner) Valid() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.valid(uptime.Now())
}

func (o *Owner) valid(now time.Duration) bool { return o.renewed > 0 && now-o.renewed < o.config.Lease }

// Watch returns a channel that gets a value after each change and after each
// membership that was renewed too late, and one at once when something is owned
// already.
func (o *Owner) Watch() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := make(chan struct{}, 1)
	if len(o.current.Partitions) > 0 {
		w <- struct{}{}
	}
	o.watchers = append(o.watchers, w)
	return w
}

// Run joins the group again and again until the context ends.
func (o *Owner) Run(ctx context.Context) error {
	tick := time.NewTicker(o.config.Lease / renewals)
	defer tick.Stop()
	failing, begun := false, uptime.Now()
	for {
		err := o.consider(ctx, uptime.Now()-begun)
		if err == nil && o.member {
			err = o.join(ctx)
		}
		if err != nil && !failing && ctx.Err() == nil {
			o.config.Logger.Write(event.MembershipLost, event.Fields{"Group": o.config.Group, "Error": err})
		}
		if err == nil && failing {
			o.config.Logger.Write(event.MembershipRegained, event.Fields{"Group": o.config.Group})
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// consider looks once in a lease whether this VM should be a member, and leaves the
// group when it should not.
func (o *Owner) consider(ctx context.Context, sinceStart time.Duration) error {
	now := uptime.Now()
	if o.config.Candidate.Always() || now-o.asked < o.config.Lease {
		return nil
	}
	owners, err := o.config.Groups.Owners(ctx, o.config.Group)
	if err != nil {
		return err
	}
	o.asked = now
	runs := o.config.Candidate.Runs(o.member, sinceStart, owners)
	if runs == o.member {
		return nil
	}
	o.member = runs
	o.config.Logger.Write(event.CandidacyChanged, event.Fields{"Member": runs, "Capacity": o.config.Candidate.Capacity, "Owned": len(owners)})
	if !runs {
		o.take(rollout.Assignment{Generation: o.Current().Generation})
		return o.config.Groups.Leave(ctx, o.membership())
	}
	return nil
}

func (o *Owner) membership() rollout.Membership {
	return rollout.Membership{
		Group: o.config.Group, Member: o.config.Candidate.Member(o.config.VM), Topics: o.config.Topics,
		Lease: o.config.Lease, Generation: o.Current().Generation,
	}
}

func (o *Owner) join(ctx context.Context) error {
	o.mu.Lock()
	left := o.left
	o.mu.Unlock()
	if left {
		return nil
	}
	begun := uptime.Now()
	a, err := o.config.Groups.Join(ctx, o.membership())
	if err != nil {
		return err
	}
	o.renew(begun)
	if o.take(a) {
		// A second join in the new generation releases what was taken away, so
		// that its new owner need not wait.
		_, err = o.config.Groups.Join(ctx, o.membership())
	}
	return err
}

// renew notes a join. Jobs that came while the membership was not valid were not
// begun; the watchers look for them.
func (o *Owner) renew(begun time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.valid(begun) {
		o.notify()
	}
	o.renewed = begun
}

// notify is called with the lock held.
func (o *Owner) notify() {
	for _, w := range o.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// take sets the assignment and reports whether it changed.
func (o *Owner) take(a rollout.Assignment) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.left {
		a.Partitions = nil
	}
	changed := a.Generation != o.current.Generation || !slices.Equal(a.Partitions, o.current.Partitions)
	if !changed {
		return false
	}
	o.config.Logger.Write(event.OwnershipChanged, event.Fields{"Generation": a.Generation, "Partitions": len(a.Partitions)})
	o.current = a
	o.notify()
	return true
}

// Leave gives up all partitions, so that others take them over at once.
func (o *Owner) Leave(ctx context.Context) {
	o.mu.Lock()
	o.left = true
	o.mu.Unlock()
	o.take(rollout.Assignment{Generation: o.Current().Generation})
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := o.config.Groups.Leave(ctx, o.membership()); err != nil {
		o.config.Logger.Write(event.MembershipLost, event.Fields{"Group": o.config.Group, "Error": err})
	}
}
