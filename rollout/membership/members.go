// Package membership detects failures among entry VMs with a SWIM-style gossip
// protocol. Each VM probes the others in random order. A probe that is not
// acknowledged is repeated indirectly through other VMs; if that fails too, the
// target is suspected, and it is declared dead unless it refutes the suspicion
// in time. State updates are piggybacked on the protocol's messages, each update
// a bounded number of times.
//
// The package performs no I/O: it takes events and the current time, and returns
// messages to send and state changes. Randomness comes from a seeded source. Two
// VMs may disagree for a while, and no guarantee depends on their agreement: the
// view only selects which VM does work that is safe to do twice or is fenced
// elsewhere.
//
// Invariants: a VM never marks itself other than alive or left. Of two updates
// about the same VM, the one with the higher incarnation wins; at the same
// incarnation, the one with the more severe state wins. After a VM was paused, it
// does not judge other VMs by probes sent before the pause.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/lifecycle"
)

// Config configures a View.
type Config struct {
	Self    rollout.VMName
	Zone    rollout.Zone
	Address string
	// Incarnation must be higher than that of any earlier process with the same
	// name.
	Incarnation uint64
	Seed        uint64
	Timing      Timing
}

// Timing holds the intervals and timeouts of failure detection.
type Timing struct {
	// ProbeInterval is the time between two probes that a VM sends.
	ProbeInterval time.Duration
	// DirectTimeout is the time to wait for an acknowledgment before other VMs are
	// asked to probe the target.
	DirectTimeout time.Duration
	// IndirectTimeout is the additional time to wait for an indirect
	// acknowledgment before the target is suspected.
	IndirectTimeout time.Duration
	// SuspicionTimeout is how long a suspected VM has to refute the suspicion
	// before it is declared dead.
	SuspicionTimeout time.Duration
	// RetryInterval is the time between probes of VMs that are considered dead and
	// of seed addresses at which no VM is known to be alive.
	RetryInterval time.Duration
	// ForgetAfter is how long a VM that died or left is remembered.
	ForgetAfter time.Duration
}

// DefaultTiming returns the timing with which 99 of 100 crashes are detected
// within 3 s.
func DefaultTiming() Timing {
	return Timing{
		ProbeInterval:    250 * time.Millisecond,
		DirectTimeout:    150 * time.Millisecond,
		IndirectTimeout:  300 * time.Millisecond,
		SuspicionTimeout: 1100 * time.Millisecond,
		RetryInterval:    2 * time.Second,
		ForgetAfter:      10 * time.Minute,
	}
}

// pauseThreshold is the gap between two ticks above which a VM assumes that it was
// itself paused.
const pauseThreshold = 300 * time.Millisecond

const (
	maxUpdatesPerMessage = 6
	indirectProbes       = 3
	retransmitFactor     = 3
	// joinRetransmitFactor is lower because new VMs also become known through the
	// platform's list of VMs.
	joinRetransmitFactor = 1
	// announceFanout is how many VMs are notified immediately of a suspicion, a
	// death or a refutation; the others learn of it from later messages.
	announceFanout = 12
)

// Member is an entry VM as the owner of the view sees it.
type Member struct {
	Name        rollout.VMName
	Zone        rollout.Zone
	Address     string
	Incarnation uint64
	State       lifecycle.State
	// Since is when the VM entered the state.
	Since time.Time
}

type probe struct {
	target   rollout.VMName
	address  string
	sentAt   time.Time
	indirect bool
	// requester and sequence are the address of the VM that asked for this probe
	// and the sequence number of its own; they are empty for a direct probe.
	requester string
	sequence  uint64
}

// broadcast is an update that is still to be piggybacked on messages.
type broadcast struct {
	update    Update
	sentCount int
	// factor multiplies the logarithm of the number of members to give how often
	// the update is sent.
	factor int
}

// View is one VM's view of the other entry VMs. It is not safe for concurrent
// use.
type View struct {
	config  Config
	self    Update
	members map[rollout.VMName]*Member
	byName  []*Member
	// probeOrder is the shuffled order of the current round of probes; probeIndex
	// is the next entry.
	probeOrder []rollout.VMName
	probeIndex int
	probes     map[uint64]*probe
	sequence   uint64
	broadcasts []broadcast
	random     *rand.Rand
	facts      Facts
	lastTick   time.Time
	probeDue   time.Time
	retryDue   time.Time
	// stateMachine changes the state of transitioning.
	stateMachine  *lifecycle.Machine
	transitioning *Member
	seeds         map[string]bool
}

// New returns a view that contains only its own VM.
func New(c Config) *View {
	v := &View{
		config:  c,
		self:    Update{Name: c.Self, Zone: c.Zone, Address: c.Address, Incarnation: c.Incarnation, State: lifecycle.VMAlive},
		members: map[rollout.VMName]*Member{},
		probes:  map[uint64]*probe{},
		random:  rand.New(rand.NewPCG(c.Seed, uint64(len(c.Self)))),
		seeds:   map[string]bool{},
	}
	v.stateMachine = lifecycle.NewVM(lifecycle.Store{
		Get: func() lifecycle.State { return v.transitioning.State },
		Set: func(to lifecycle.State) { v.transitioning.State = to },
	})
	return v
}

// SetFacts sets the facts that this VM attaches to every message.
func (v *View) SetFacts(f Facts) { v.facts = f }

// Seed adds addresses that may belong to VMs, taken from settings or from the
// platform's list. An address is probed until a VM answers from it.
func (v *View) Seed(addresses []string) {
	for _, a := range addresses {
		if a != v.self.Address {
			v.seeds[a] = true
		}
	}
}

// Leave marks this VM as left and returns the messages that notify the VMs that
// are alive.
func (v *View) Leave() []Action {
	v.self.State = lifecycle.VMLeft
	v.self.Incarnation++
	var out []Action
	for _, m := range v.sorted() {
		if m.State == lifecycle.VMAlive {
			out = append(out, v.ping(time.Time{}, m.Name, m.Address))
		}
	}
	return out
}

// Tick sends the probes that are due, expires outstanding probes and suspicions,
// and returns the resulting actions. It must be called regularly: a gap longer
// than pauseThreshold counts as a pause of this VM.
func (v *View) Tick(now time.Time) []Action {
	var out []Action
	if !v.lastTick.IsZero() && now.Sub(v.lastTick) > pauseThreshold {
		out = v.resumeAfterPause(now)
	}
	v.lastTick = now
	out = append(out, v.expireProbes(now)...)
	out = append(out, v.expireSuspects(now)...)
	if !now.Before(v.probeDue) {
		v.probeDue = now.Add(v.config.Timing.ProbeInterval)
		out = append(out, v.probeNext(now)...)
	}
	if !now.Before(v.retryDue) {
		v.retryDue = now.Add(v.config.Timing.RetryInterval)
		out = append(out, v.probeUnreachable(now)...)
	}
	return out
}

// resumeAfterPause drops the probes sent before a pause of this VM and restarts
// the timeout of every suspicion. Other VMs may suspect this one by now, so it
// announces a higher incarnation without waiting to learn of the suspicion.
func (v *View) resumeAfterPause(now time.Time) []Action {
	clear(v.probes)
	for _, m := range v.members {
		if m.State == lifecycle.VMSuspect {
			m.Since = now
		}
	}
	v.self.Incarnation++
	v.queueUpdate(v.self)
	return v.announce(now)
}

// Announce returns the messages that immediately carry this VM's facts and pending
// updates to some VMs that are alive.
func (v *View) Announce(now time.Time) []Action { return v.announce(now) }

func (v *View) announce(now time.Time) []Action {
	var alive []*Member
	for _, m := range v.sorted() {
		if m.State == lifecycle.VMAlive {
			alive = append(alive, m)
		}
	}
	v.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var out []Action
	for _, m := range alive[:min(announceFanout, len(alive))] {
		out = append(out, v.ping(now, "", m.Address))
	}
	return out
}

func (v *View) probeNext(now time.Time) []Action {
	for range len(v.probeOrder) + 1 {
		if v.probeIndex >= len(v.probeOrder) {
			v.shuffleProbeOrder(now)
			if len(v.probeOrder) == 0 {
				return nil
			}
		}
		m := v.members[v.probeOrder[v.probeIndex]]
		v.probeIndex++
		if m != nil && (m.State == lifecycle.VMAlive || m.State == lifecycle.VMSuspect) {
			return []Action{v.ping(now, m.Name, m.Address)}
		}
	}
	return nil
}

// shuffleProbeOrder starts a new round of probes. It also removes members that
// died or left longer than ForgetAfter ago and are not at a seed address.
func (v *View) shuffleProbeOrder(now time.Time) {
	v.probeOrder = v.probeOrder[:0]
	v.probeIndex = 0
	for _, m := range v.sorted() {
		gone := m.State == lifecycle.VMDead || m.State == lifecycle.VMLeft
		if gone && now.Sub(m.Since) > v.config.Timing.ForgetAfter && !v.seeds[m.Address] {
			delete(v.members, m.Name)
			v.byName = nil
			continue
		}
		v.probeOrder = append(v.probeOrder, m.Name)
	}
	v.random.Shuffle(len(v.probeOrder), func(i, j int) { v.probeOrder[i], v.probeOrder[j] = v.probeOrder[j], v.probeOrder[i] })
}

// probeUnreachable probes two random addresses out of those of dead VMs and the
// seed addresses at which no VM is known to be alive, so that the end of a
// network partition is detected.
func (v *View) probeUnreachable(now time.Time) []Action {
	var unreachable []string
	known := map[string]bool{}
	for _, m := range v.sorted() {
		known[m.Address] = m.State == lifecycle.VMAlive || m.State == lifecycle.VMSuspect
		if m.State == lifecycle.VMDead {
			unreachable = append(unreachable, m.Address)
		}
	}
	for a := range v.seeds {
		if !known[a] && !slices.Contains(unreachable, a) {
			unreachable = append(unreachable, a)
		}
	}
	slices.Sort(unreachable)
	v.random.Shuffle(len(unreachable), func(i, j int) { unreachable[i], unreachable[j] = unreachable[j], unreachable[i] })
	var out []Action
	for _, a := range unreachable[:min(2, len(unreachable))] {
		out = append(out, v.ping(now, "", a))
	}
	return out
}

// ping returns a ping message to an address. The probe is tracked only if target
// is not empty.
func (v *View) ping(now time.Time, target rollout.VMName, address string) Send {
	v.sequence++
	if target != "" {
		v.probes[v.sequence] = &probe{target: target, address: address, sentAt: now}
	}
	return Send{Address: address, Message: v.newMessage(KindPing, v.sequence, "").withReceiverState(v.memberAt(address))}
}

// withReceiverState adds the state recorded for the receiver unless it is alive,
// so that the receiver can refute it.
func (m Message) withReceiverState(receiver *Member) Message {
	if receiver != nil && receiver.State != lifecycle.VMAlive {
		m.Updates = append(m.Updates, receiver.update())
	}
	return m
}

func (v *View) memberAt(address string) *Member {
	for _, m := range v.members {
		if m.Address == address {
			return m
		}
	}
	return nil
}

func (v *View) newMessage(k Kind, sequence uint64, target string) Message {
	return Message{Kind: k, Sequence: sequence, From: v.self, Target: target, Updates: v.nextUpdates(), Facts: v.facts}
}

// nextUpdates returns the updates that were sent the fewest times so far, the most
// recent first among equals, and drops those that were sent often enough.
func (v *View) nextUpdates() []Update {
	slices.SortStableFunc(v.broadcasts, func(a, b broadcast) int { return a.sentCount - b.sentCount })
	n := min(maxUpdatesPerMessage, len(v.broadcasts))
	updates := make([]Update, 0, n)
	for i := range n {
		updates = append(updates, v.broadcasts[i].update)
		v.broadcasts[i].sentCount++
	}
	limit := bitLength(len(v.members) + 1)
	v.broadcasts = slices.DeleteFunc(v.broadcasts, func(b broadcast) bool { return b.sentCount >= limit*b.factor })
	return updates
}

// bitLength returns the number of bits needed to represent n, at least 1.
func bitLength(n int) int {
	b := 1
	for ; n > 1; n /= 2 {
		b++
	}
	return b
}

func (v *View) queueUpdate(u Update) { v.queueUpdateWithFactor(u, retransmitFactor) }

// queueUpdateWithFactor queues an update to be sent; it replaces a queued update
// about the same VM.
func (v *View) queueUpdateWithFactor(u Update, factor int) {
	v.broadcasts = slices.DeleteFunc(v.broadcasts, func(b broadcast) bool { return b.update.Name == u.Name })
	v.broadcasts = append([]broadcast{{update: u, factor: factor}}, v.broadcasts...)
}

// expireProbes starts indirect probes when direct ones time out, suspects the
// targets of those that time out as well, and drops probes made for other VMs.
func (v *View) expireProbes(now time.Time) []Action {
	var out []Action
	sequences := make([]uint64, 0, len(v.probes))
	for s := range v.probes {
		sequences = append(sequences, s)
	}
	slices.Sort(sequences)
	for _, s := range sequences {
		p := v.probes[s]
		age := now.Sub(p.sentAt)
		switch {
		case p.requester != "" && age > v.config.Timing.IndirectTimeout:
			delete(v.probes, s)
		case p.requester == "" && !p.indirect && age > v.config.Timing.DirectTimeout:
			p.indirect = true
			out = append(out, v.requestIndirectProbes(s, p)...)
		case p.requester == "" && age > v.config.Timing.DirectTimeout+v.config.Timing.IndirectTimeout:
			delete(v.probes, s)
			out = append(out, v.suspect(now, p.target)...)
		}
	}
	return out
}

func (v *View) requestIndirectProbes(sequence uint64, p *probe) []Action {
	var others []*Member
	for _, m := range v.sorted() {
		if m.State == lifecycle.VMAlive && m.Name != p.target {
			others = append(others, m)
		}
	}
	v.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []Action
	for _, m := range others[:min(indirectProbes, len(others))] {
		out = append(out, Send{Address: m.Address, Message: v.newMessage(KindPingRequest, sequence, p.address)})
	}
	return out
}

func (v *View) suspect(now time.Time, name rollout.VMName) []Action {
	m := v.members[name]
	if m == nil || m.State != lifecycle.VMAlive {
		return nil
	}
	out := v.transition(now, m, lifecycle.VMMiss)
	// The suspected VM itself must learn of the suspicion to refute it.
	out = append(out, v.ping(now, "", m.Address))
	return append(out, v.announce(now)...)
}

func (v *View) expireSuspects(now time.Time) []Action {
	var out []Action
	for _, m := range v.sorted() {
		if m.State == lifecycle.VMSuspect && now.Sub(m.Since) > v.config.Timing.SuspicionTimeout {
			out = append(out, v.transition(now, m, lifecycle.VMConfirm)...)
			out = append(out, v.announce(now)...)
		}
	}
	return out
}

// transition fires a trigger on a member's state, queues the update to be sent and
// returns a StateChanged action if the state differs. A trigger that is not
// allowed in the state is ignored.
func (v *View) transition(now time.Time, m *Member, t lifecycle.Trigger) []Action {
	v.transitioning = m
	before := m.State
	if err := v.stateMachine.Fire(t); err != nil {
		return nil
	}
	v.queueUpdate(m.update())
	if m.State == before {
		return nil
	}
	m.Since = now
	return []Action{StateChanged{Member: *m}}
}

func (m *Member) update() Update {
	return Update{Name: m.Name, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation, State: m.State}
}

// HandleMessage handles a message that came from an address.
func (v *View) HandleMessage(now time.Time, from string, msg Message) []Action {
	out := v.applyUpdate(now, msg.From)
	for _, u := range msg.Updates {
		out = append(out, v.applyUpdate(now, u)...)
	}
	if m := v.members[msg.From.Name]; m != nil {
		out = append(out, FactsReceived{From: *m, Facts: msg.Facts})
	}
	switch msg.Kind {
	case KindPing:
		out = append(out, Send{Address: from, Message: v.newMessage(KindAck, msg.Sequence, "").withReceiverState(v.members[msg.From.Name])})
	case KindAck:
		out = append(out, v.handleAck(msg)...)
	case KindPingRequest:
		v.sequence++
		v.probes[v.sequence] = &probe{address: msg.Target, sentAt: now, requester: from, sequence: msg.Sequence}
		out = append(out, Send{Address: msg.Target, Message: v.newMessage(KindPing, v.sequence, "")})
	}
	return out
}

// handleAck completes a probe; for a probe made for another VM it forwards the
// acknowledgment.
func (v *View) handleAck(msg Message) []Action {
	p := v.probes[msg.Sequence]
	if p == nil {
		return nil
	}
	delete(v.probes, msg.Sequence)
	if p.requester != "" {
		relay := v.newMessage(KindAck, p.sequence, "")
		relay.Updates = append(relay.Updates, msg.From)
		return []Action{Send{Address: p.requester, Message: relay}}
	}
	return nil
}

// applyUpdate applies an update about a VM. It ignores an update with a lower
// incarnation than the known one, or with the same and no more severe a state.
func (v *View) applyUpdate(now time.Time, u Update) []Action {
	if u.Name == v.self.Name {
		return v.refute(now, u)
	}
	m := v.members[u.Name]
	if m == nil {
		return v.addMember(now, u)
	}
	if u.Incarnation < m.Incarnation || (u.Incarnation == m.Incarnation && !moreSevere(u.State, m.State)) {
		return nil
	}
	newerIncarnation := u.Incarnation > m.Incarnation
	m.Incarnation, m.Address, m.Zone = u.Incarnation, u.Address, u.Zone
	return v.transition(now, m, triggerFor(m.State, u.State, newerIncarnation))
}

// refute raises this VM's incarnation above that of an update which claims that
// this VM is not alive or which carries a higher incarnation than its own.
func (v *View) refute(now time.Time, u Update) []Action {
	if u.State == lifecycle.VMAlive && u.Incarnation <= v.self.Incarnation {
		return nil
	}
	if v.self.State == lifecycle.VMLeft || u.Incarnation < v.self.Incarnation {
		return nil
	}
	v.self.Incarnation = u.Incarnation + 1
	v.queueUpdate(v.self)
	return v.announce(now)
}

func (v *View) addMember(now time.Time, u Update) []Action {
	m := &Member{Name: u.Name, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation, State: u.State, Since: now}
	v.members[u.Name] = m
	v.byName = nil
	v.probeOrder = append(v.probeOrder, u.Name)
	factor := retransmitFactor
	if u.State == lifecycle.VMAlive {
		factor = joinRetransmitFactor
	}
	v.queueUpdateWithFactor(u, factor)
	return []Action{StateChanged{Member: *m}}
}

func moreSevere(a, b lifecycle.State) bool { return severity(a) > severity(b) }

func severity(s lifecycle.State) int {
	switch s {
	case lifecycle.VMAlive:
		return 0
	case lifecycle.VMSuspect:
		return 1
	case lifecycle.VMDead:
		return 2
	}
	return 3
}

// triggerFor returns the trigger that takes a member from one state to another.
// newerIncarnation reports whether the update raised the member's incarnation.
func triggerFor(from, to lifecycle.State, newerIncarnation bool) lifecycle.Trigger {
	gone := from == lifecycle.VMDead || from == lifecycle.VMLeft
	switch to {
	case lifecycle.VMAlive:
		if gone {
			return lifecycle.VMRejoin
		}
		return lifecycle.VMRefute
	case lifecycle.VMSuspect:
		if gone && newerIncarnation {
			return lifecycle.VMRejoin
		}
		return lifecycle.VMMiss
	case lifecycle.VMLeft:
		return lifecycle.VMLeave
	}
	return lifecycle.VMConfirm
}

// sorted returns the members sorted by name. The slice is cached until a member
// is added or removed.
func (v *View) sorted() []*Member {
	if len(v.byName) == len(v.members) {
		return v.byName
	}
	all := make([]*Member, 0, len(v.members))
	for _, m := range v.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	v.byName = all
	return all
}

// Members returns the other VMs sorted by name.
func (v *View) Members() []Member {
	sorted := v.sorted()
	out := make([]Member, 0, len(sorted))
	for _, m := range sorted {
		out = append(out, *m)
	}
	return out
}

// Self returns the state that this VM advertises to the others.
func (v *View) Self() Member { return memberOf(v.self) }

func memberOf(u Update) Member {
	return Member{Name: u.Name, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation, State: u.State}
}
