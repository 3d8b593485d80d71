// Package standin provides in-memory fakes of the platform's store and of model
// engines, for tests that run several entry VMs in one process. The fakes keep the
// platform's guarantees and can simulate its failures.
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

// Store is a fake of the store: a partitioned log with one group.
type Store struct {
	mu      sync.Mutex
	records map[rollout.Partition][][]byte
	// first holds the offset of the oldest record that each partition keeps.
	first map[rollout.Partition]rollout.Offset
	// changed is closed and replaced when records are added.
	changed chan struct{}
	// down holds the VMs that can't reach the store.
	down map[rollout.VMName]bool
	// expelled holds the VMs whose calls to join the group fail.
	expelled map[rollout.VMName]bool
	// lostReplies is the number of further appends to each topic that succeed but
	// return an error. reads counts the Read calls of each VM by topic.
	lostReplies map[string]int
	reads       map[rollout.VMName]map[string]int
	members     []rollout.VMName
	// generation is incremented when the members of the group change.
	generation uint64
	partitions int
}

// NewStore returns an empty store whose topics have the given number of partitions.
func NewStore(partitions int) *Store {
	return &Store{
		records: map[rollout.Partition][][]byte{}, first: map[rollout.Partition]rollout.Offset{}, changed: make(chan struct{}),
		down: map[rollout.VMName]bool{}, expelled: map[rollout.VMName]bool{}, lostReplies: map[string]int{}, reads: map[rollout.VMName]map[string]int{}, partitions: partitions,
	}
}

// Trim expires all records that a partition holds.
func (s *Store) Trim(p rollout.Partition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[p] = rollout.Offset(len(s.records[p]))
}

// SetDown disconnects a VM from the store if down is true, and reconnects it
// otherwise.
func (s *Store) SetDown(vm rollout.VMName, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[vm] = down
}

// Expel removes a VM from the group and makes its attempts to join fail, while it can
// still use the log. Admit reverts that.
func (s *Store) Expel(vm rollout.VMName) {
	s.RemoveMember(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expelled[vm] = true
}

// Admit lets a VM that was expelled join the group again.
func (s *Store) Admit(vm rollout.VMName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expelled[vm] = false
}

// LoseReplies makes the next count appends to a topic store their records but return
// an error, as when the reply is lost.
func (s *Store) LoseReplies(topic string, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostReplies[topic] = count
}

// Reads returns how many Read calls a VM made for a topic.
func (s *Store) Reads(vm rollout.VMName, topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[vm][topic]
}

// Records returns the records of a partition.
func (s *Store) Records(p rollout.Partition) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records[p])
}

// RemoveMember removes a VM's members from the group, as when their lease expires.
func (s *Store) RemoveMember(vm rollout.VMName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.DeleteFunc(s.members, func(m rollout.VMName) bool {
		return m == vm || strings.HasPrefix(string(m), string(vm)+"/")
	})
	s.generation++
}

// ForVM returns the store's client for a VM.
func (s *Store) ForVM(vm rollout.VMName) *Client { return &Client{store: s, vm: vm} }

// Client is the client of one VM.
type Client struct {
	store *Store
	vm    rollout.VMName
}

var (
	_ rollout.Journal = (*Client)(nil)
	_ rollout.Groups  = (*Client)(nil)
)

var errExpelled error = rollout.Refuse(rollout.ReasonLogUnavailable, "the group does not answer")

func (s *Store) unreachable(vm rollout.VMName) error {
	if s.down[vm] {
		return rollout.Refuse(rollout.ReasonLogUnavailable, "the store is down")
	}
	return nil
}

// Append implements rollout.Journal.
func (c *Client) Append(_ context.Context, p rollout.Partition, records [][]byte) (rollout.Offset, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unreachable(c.vm); err != nil {
		return 0, err
	}
	first := rollout.Offset(len(s.records[p]))
	s.add(p, records)
	if s.lostReplies[p.Topic] > 0 {
		s.lostReplies[p.Topic]--
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
func (c *Client) AppendAt(_ context.Context, p rollout.Partition, at rollout.Offset, records [][]byte) error {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unreachable(c.vm); err != nil {
		return err
	}
	if end := rollout.Offset(len(s.records[p])); end != at {
		return &rollout.OffsetMismatchError{End: end}
	}
	s.add(p, records)
	return nil
}

// Read implements rollout.Journal.
func (c *Client) Read(ctx context.Context, p rollout.Partition, from rollout.Offset, maxBytes int, wait time.Duration) (rollout.ReadResult, error) {
	s := c.store
	s.mu.Lock()
	if s.reads[c.vm] == nil {
		s.reads[c.vm] = map[string]int{}
	}
	s.reads[c.vm][p.Topic]++
	s.mu.Unlock()
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		if err := s.unreachable(c.vm); err != nil {
			s.mu.Unlock()
			return rollout.ReadResult{}, err
		}
		all, first, changed := s.records[p], s.first[p], s.changed
		s.mu.Unlock()
		if from < first {
			return rollout.ReadResult{}, &rollout.TrimmedError{First: first}
		}
		r := rollout.ReadResult{First: first, Next: rollout.Offset(len(all))}
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
func (c *Client) Join(_ context.Context, m rollout.Membership) (rollout.Assignment, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unreachable(c.vm); err != nil || s.expelled[c.vm] {
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

// owner returns the member that owns a partition, or "" if the group is empty.
func (s *Store) owner(partition int) rollout.VMName {
	if len(s.members) == 0 {
		return ""
	}
	return s.members[partition%len(s.members)]
}

// Owners implements rollout.Groups.
func (c *Client) Owners(context.Context, string) ([]rollout.PartitionOwner, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unreachable(c.vm); err != nil {
		return nil, err
	}
	var out []rollout.PartitionOwner
	for n := range s.partitions {
		out = append(out, rollout.PartitionOwner{Partition: rollout.Partition{Number: n}, Member: s.owner(n)})
	}
	return out, nil
}

// Leave implements rollout.Groups.
func (c *Client) Leave(_ context.Context, m rollout.Membership) error {
	s := c.store
	s.mu.Lock()
	err := s.unreachable(c.vm)
	s.mu.Unlock()
	if err == nil {
		s.RemoveMember(m.Member)
	}
	return err
}
