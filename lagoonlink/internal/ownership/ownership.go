// Package ownership keeps this VM a member of the group among which the job
// partitions are divided. A partition's owner runs the samples of its jobs. If a
// partition briefly has two owners, work is duplicated but no guarantee is broken,
// because only the first record of a result counts.
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

// Membership timing.
const (
	// joinsPerLease is how many joins are sent per lease, so that one lost join
	// does not end the membership.
	joinsPerLease = 4
	// leaveTimeout bounds the final leave call of a process that is shutting down.
	leaveTimeout = time.Second
)

// Config configures an Owner.
type Config struct {
	VM     rollout.VMName
	Groups rollout.Groups
	Group  string
	Topics []string
	Lease  time.Duration
	// Candidate decides whether this VM should be a member.
	Candidate candidacy.Candidate
	// HandsOver reports whether this VM can't do the work of its partitions and another one
	// can, so that it leaves the group until that changes; HandOver is called before. They
	// may be nil.
	HandsOver func(ctx context.Context) bool
	HandOver  func(ctx context.Context)
	Logger    *event.Logger
}

// Owner maintains this VM's group membership and the partitions assigned to it.
type Owner struct {
	config Config

	mu         sync.Mutex
	assignment rollout.Assignment
	left       bool
	// member reports whether this VM takes part in the group. checkedAt is when
	// the owners were last queried, by the clock of package uptime.
	member    bool
	checkedAt time.Duration
	// handedOver reports whether this VM left the group because of Config.HandsOver.
	handedOver bool
	// renewedAt is when the newest successful join was started, by the clock of
	// package uptime.
	renewedAt time.Duration
	watchers  []chan struct{}
}

// New returns an Owner that owns nothing yet.
func New(c Config) *Owner { return &Owner{config: c, member: c.Candidate.Always()} }

// Current returns the last known assignment of this VM. A VM that can't reach the
// store keeps its assignment and continues its work until it learns that another
// VM owns it.
func (o *Owner) Current() rollout.Assignment {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.assignment
}

// Valid reports whether the membership is certain not to have lapsed yet. A VM
// whose membership may have lapsed starts no new work, because another VM may own
// the partitions.
func (o *Owner) Valid() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.validAt(uptime.Now())
}

func (o *Owner) validAt(now time.Duration) bool {
	return o.renewedAt > 0 && now-o.renewedAt < o.config.Lease
}

// Watch returns a channel that receives a value after each change of the
// assignment and after each renewal of a lapsed membership, and one immediately if
// this VM already owns partitions.
func (o *Owner) Watch() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := make(chan struct{}, 1)
	if len(o.assignment.Partitions) > 0 {
		w <- struct{}{}
	}
	o.watchers = append(o.watchers, w)
	return w
}

// Run renews the membership periodically until ctx is done. It always returns nil.
func (o *Owner) Run(ctx context.Context) error {
	tick := time.NewTicker(o.config.Lease / joinsPerLease)
	defer tick.Stop()
	failing, startedAt := false, uptime.Now()
	for {
		err := o.renew(ctx, uptime.Now()-startedAt)
		if err != nil && !failing && ctx.Err() == nil {
			o.config.Logger.Write(event.MembershipLost, event.Fields{"Group": o.config.Group, "Error": err})
		}
		if err == nil && failing {
			o.config.Logger.Write(event.MembershipRenewed, event.Fields{"Group": o.config.Group})
		}
		failing = err != nil
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// renew renews the membership, unless this VM should not be a member.
func (o *Owner) renew(ctx context.Context, sinceStart time.Duration) error {
	if handsOver := o.config.HandsOver != nil && o.config.HandsOver(ctx); handsOver != o.handedOver {
		o.handedOver = handsOver
		o.config.Logger.Write(event.JobsHandedOver, event.Fields{"Member": !handsOver, "Partitions": len(o.Current().Partitions)})
		if handsOver {
			o.config.HandOver(ctx)
			o.setAssignment(rollout.Assignment{Generation: o.Current().Generation})
			return o.config.Groups.Leave(ctx, o.membership())
		}
	}
	if o.handedOver {
		return nil
	}
	err := o.updateCandidacy(ctx, sinceStart)
	if err == nil && o.member {
		err = o.join(ctx)
	}
	return err
}

// updateCandidacy checks once per lease whether this VM should be a member, and
// leaves the group if it should not.
func (o *Owner) updateCandidacy(ctx context.Context, sinceStart time.Duration) error {
	now := uptime.Now()
	if o.config.Candidate.Always() || now-o.checkedAt < o.config.Lease {
		return nil
	}
	owners, err := o.config.Groups.Owners(ctx, o.config.Group)
	if err != nil {
		return err
	}
	o.checkedAt = now
	shouldJoin := o.config.Candidate.ShouldRun(o.member, sinceStart, owners)
	if shouldJoin == o.member {
		return nil
	}
	o.member = shouldJoin
	o.config.Logger.Write(event.CandidacyChanged, event.Fields{"Member": shouldJoin, "Capacity": o.config.Candidate.Capacity, "Owned": len(owners)})
	if !shouldJoin {
		o.setAssignment(rollout.Assignment{Generation: o.Current().Generation})
		return o.config.Groups.Leave(ctx, o.membership())
	}
	return nil
}

func (o *Owner) membership() rollout.Membership {
	return rollout.Membership{
		Group: o.config.Group, Member: o.config.Candidate.MemberName(o.config.VM), Topics: o.config.Topics,
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
	startedAt := uptime.Now()
	a, err := o.config.Groups.Join(ctx, o.membership())
	if err != nil {
		return err
	}
	o.recordRenewal(startedAt)
	if o.setAssignment(a) {
		// A second join, in the new generation, releases the partitions that this
		// VM lost, so that their new owners do not have to wait for the lease.
		_, err = o.config.Groups.Join(ctx, o.membership())
	}
	return err
}

// recordRenewal records a successful join that was started at the given time. Jobs
// that arrived while the membership had lapsed were not started, so the watchers
// are notified to look for them.
func (o *Owner) recordRenewal(startedAt time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.validAt(startedAt) {
		o.notifyWatchers()
	}
	o.renewedAt = startedAt
}

// notifyWatchers wakes all watchers. The caller must hold o.mu.
func (o *Owner) notifyWatchers() {
	for _, w := range o.watchers {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// setAssignment sets the assignment and reports whether it changed.
func (o *Owner) setAssignment(a rollout.Assignment) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.left {
		a.Partitions = nil
	}
	changed := a.Generation != o.assignment.Generation || !slices.Equal(a.Partitions, o.assignment.Partitions)
	if !changed {
		return false
	}
	o.config.Logger.Write(event.OwnershipChanged, event.Fields{"Generation": a.Generation, "Partitions": len(a.Partitions)})
	o.assignment = a
	o.notifyWatchers()
	return true
}

// Leave gives up all partitions and leaves the group, so that other VMs can take
// them over immediately. The VM does not join again.
func (o *Owner) Leave(ctx context.Context) {
	o.mu.Lock()
	o.left = true
	o.mu.Unlock()
	o.setAssignment(rollout.Assignment{Generation: o.Current().Generation})
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := o.config.Groups.Leave(ctx, o.membership()); err != nil {
		o.config.Logger.Write(event.MembershipLost, event.Fields{"Group": o.config.Group, "Error": err})
	}
}
