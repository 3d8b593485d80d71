// Package standin holds small stand-ins of the platform's store and of model
// engines, for tests of several entry VMs in one process. They keep what the
// platform promises and bring about its failures.
package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"lagoonlink.org/rollout"
)

// Store is a partitioned log with groups.
type Store struct {
	mu      sync.Mutex
	records map[rollout.Partition][][]byte
	changed chan struct{}
	down    map[rollout.VMName]bool
	// deaf holds the VMs whose calls to the group fail.
	deaf map[rollout.VMName]bool
	// lost counts the appends of each topic that will succeed without an answer,
	// reads those calls that a VM made to read a topic.
	lost    map[string]int
	reads   map[rollout.VMName]map[string]int
	members []rollout.VMName
	// generation counts the changes of the group.
	generation uint64
	partitions int
}

// NewStore returns an empty store whose topics have a number of partitions.
func NewStore(partitions int) *Store {
	return &Store{
		records: map[rollout.Partition][][]byte{}, changed: make(chan struct{}),
		down: map[rollout.VMName]bool{}, deaf: map[rollout.VMName]bool{}, lost: map[string]int{}, reads: map[rollout.VMName]map[string]int{}, partitions: partitions,
	}
}

// Down cuts a VM off from the store, or ends the cut.
func (s *Store) Down(vm rollout.VMName, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[vm] = down
}

// Expel makes a VM's membership lapse and its calls to the group fail, while it
// still reaches the log; Admit ends that.
func (s *Store) Expel(vm rollout.VMName) {
	s.Remove(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf[vm] = true
}

// Admit ends Expel.
func (s *Store) Admit(vm rollout.VMName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf[vm] = false
}

// LoseReplies makes the next appends to a topic succeed without an answer.
func (s *Store) LoseReplies(topic string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[topic] = count
}

// Reads returns how many calls a VM made to read a topic.
func (s *Store) Reads(vm rollout.VMName, topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[vm][topic]
}

// Records returns a copy of a partition.
func (s *Store) Records(p rollout.Partition) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records[p])
}

// Remove takes a VM out of the group, as after its lease.
func (s *Store) Remove(vm rollout.VMName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m rollout.VMName) bool {
		return m == vm || strings.HasPrefix(string(m), string(vm)+"/")
	})
	s.generation++
}

// Of returns the store as one VM reaches it.
func (s *Store) Of(vm rollout.VMName) *Access { return &Access{store: s, vm: vm} }

// Access is one VM's way to the store.
type Access struct {
	store *Store
	vm    rollout.VMName
}

var (
	_ rollout.Journal = (*Access)(nil)
	_ rollout.Groups  = (*Access)(nil)
)

// errExpelled answers a VM that was expelled.
var errExpelled error = rollout.Refuse(rollout.ReasonLogUnavailable, "the group does not answer")

func (s *Store) unreachable(vm rollout.VMName) error {
	if s.down[vm] {
		return rollout.Refuse(rollout.ReasonLogUnavailable, "the store is down")
	}
	return nil
}

// Append implements rollout.Journal.
func (a *Access) Append(_ context.Context, p rollout.Partition, records [][]byte) (rollout.Offset, error) {
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unreachable(a.vm); err != nil {
		return 0, err
	}
	first := rollout.Offset(len(s.records[p]))
	s.add(p, records)
	if s.lost[p.Topic] > 0 {
		s.lost[p.Topic]--
		return 0, rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, context.DeadlineExceeded)
	}
	return first, nil
}

func (s *Store) add(p rollout.Partition, records [][]byte) {
	for _, r := range records {
		s.records[p] = append(s.records[p], slices.Clone(r))
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// AppendAt implements rollout.Journal.
func (a *Access) AppendAt(_ context.Context, p rollout.Partition, at rollout.Offset, records [][]byte) error {
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unreachable(a.vm); err != nil {
		return err
	}
	if end := rollout.Offset(len(s.records[p])); end != at {
		return &rollout.MovedError{End: end}
	}
	s.add(p, records)
	return nil
}

// Read implements rollout.Journal.
func (a *Access) Read(ctx context.Context, p rollout.Partition, from rollout.Offset, maxBytes int, wait time.Duration) (rollout.ReadResult, error) {
	s := a.store
	s.mu.Lock()
	if s.reads[a.vm] == nil {
		s.reads[a.vm] = map[string]int{}
	}
	s.reads[a.vm][p.Topic]++
	s.mu.Unlock()
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if err := s.unreachable(a.vm); err != nil {
			s.mu.Unlock()
			return rollout.ReadResult{}, err
		}
		all, changed := s.records[p], s.changed
		s.mu.Unlock()
		r := rollout.ReadResult{Next: rollout.Offset(len(all))}
		for at := from; at < r.Next && (maxBytes > 0 || len(r.Records) == 0); at++ {
			r.Records = append(r.Records, rollout.Record{Offset: at, Data: all[at]})
			maxBytes -= len(all[at])
		}
		if len(r.Records) > 0 || wait <= 0 {
			return r, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return r, nil
		case <-ctx.Done():
			return rollout.ReadResult{}, rollout.Fail(rollout.NotRun, rollout.ReasonCanceled, ctx.Err())
		}
	}
}

// Join implements rollout.Groups.
func (a *Access) Join(_ context.Context, m rollout.Membership) (rollout.Assignment, error) {
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unreachable(a.vm); err != nil || s.deaf[a.vm] {
		return rollout.Assignment{}, cmp.Or(err, errExpelled)
	}
	if !slices.Contains(s.members, m.Member) {
		s.members = append(s.members, m.Member)
		s.generation++
	}
	out := rollout.Assignment{Generation: s.generation}
	for n := range s.partitions {
		if s.owner(n) == m.Member {
			for _, topic := range m.Topics {
				out.Partitions = append(out.Partitions, rollout.Partition{Topic: topic, Number: n})
			}
		}
	}
	return out, nil
}

// owner returns the member that has a partition.
func (s *Store) owner(partition int) rollout.VMName {
	if len(s.members) == 0 {
		return ""
	}
	return s.members[partition%len(s.members)]
}

// Owners implements rollout.Groups.
func (a *Access) Owners(context.Context, string) ([]rollout.PartitionOwner, error) {
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unreachable(a.vm); err != nil {
		return nil, err
	}
	var out []rollout.PartitionOwner
	for n := range s.partitions {
		out = append(out, rollout.PartitionOwner{Partition: rollout.Partition{Number: n}, Member: s.owner(n)})
	}
	return out, nil
}

// Leave implements rollout.Groups.
func (a *Access) Leave(_ context.Context, m rollout.Membership) error {
	s := a.store
	s.mu.Lock()
	err := s.unreachable(a.vm)
	s.mu.Unlock()
	if err == nil {
		s.Remove(m.Member)
	}
	return err
}
