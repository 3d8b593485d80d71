// Package membership decides which entry VMs live. Each VM probes the others in
// a random order; a probe that is not answered is repeated through other VMs,
// then the VM is suspected, and it is dead when it does not refute the suspicion
// in time. News travels on the probes, each a bounded number of times.
//
// It is pure: events and a time go in, messages to send and changes come out;
// randomness comes from a seeded source. Two VMs may disagree for a while, and
// no promise depends on their agreeing: the view only chooses who does work that
// is safe to do twice or is fenced elsewhere.
//
// Invariants: a VM never marks itself other than alive or left; for one VM, an
// update with a higher incarnation wins, and at the same incarnation the graver
// state; after a pause of its own a VM judges nobody by probes from before it.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/life"
)

// Config configures a VM's view.
type Config struct {
	Self    rollout.VMName
	Zone    rollout.Zone
	Address string
	// Incarnation must exceed that of an earlier process of the same name.
	Incarnation uint64
	Seed        uint64
	Timing      Timing
}

// Timing holds the intervals of detection.
type Timing struct {
	// Probe is the time between two probes that a VM sends.
	Probe time.Duration
	// Direct is how long a probe may take before others are asked to probe.
	Direct time.Duration
	// Indirect is how long those may take before the VM is suspected.
	Indirect time.Duration
	// Suspicion is how long a suspected VM has to refute.
	Suspicion time.Duration
	// Retry is the time between probes of VMs that are held dead but listed.
	Retry time.Duration
	// Forget is how long a VM is remembered after its death.
	Forget time.Duration
}

// DefaultTiming detects a crash within 3 s in 99 of 100 cases.
func DefaultTiming() Timing {
	return Timing{
		Probe:     250 * time.Millisecond,
		Direct:    150 * time.Millisecond,
		Indirect:  300 * time.Millisecond,
		Suspicion: 1100 * time.Millisecond,
		Retry:     2 * time.Second,
		Forget:    10 * time.Minute,
	}
}

// Pause is the longest gap between two events after which a VM takes it that it
// was itself paused.
const pause = 300 * time.Millisecond

const (
	maxUpdates   = 6
	indirectVMs  = 3
	updateFactor = 3
	// joinFactor is lower, for the list of VMs tells of new ones too.
	joinFactor = 1
	// announceVMs are told at once of a suspicion, a death or a refutation; the
	// others hear of it on the probes.
	announceVMs = 12
)

// Member is one VM as this one sees it.
type Member struct {
	Name        rollout.VMName
	Zone        rollout.Zone
	Address     string
	Incarnation uint64
	State       life.State
	// Since is when the state began.
	Since time.Time
}

type probe struct {
	target   rollout.VMName
	address  string
	sent     time.Time
	indirect bool
	// origin and sequence are set when the probe is made for another VM.
	origin   string
	sequence uint64
}

type news struct {
	update Update
	sent   int
	// factor is how often it is told, in units of the logarithm of the members.
	factor int
}

// View is one VM's view of the others.
type View struct {
	config   Config
	self     Update
	members  map[rollout.VMName]*Member
	byName   []*Member
	order    []rollout.VMName
	turn     int
	probes   map[uint64]*probe
	sequence uint64
	news     []news
	random   *rand.Rand
	facts    Facts
	lastTick time.Time
	nextDue  time.Time
	retryDue time.Time
	machine  *life.Machine
	cursor   *Member
	seeds    map[string]bool
}

// New returns a view that knows only its own VM.
func New(c Config) *View {
	v := &View{
		config:  c,
		self:    Update{Name: c.Self, Zone: c.Zone, Address: c.Address, Incarnation: c.Incarnation, State: life.VMAlive},
		members: map[rollout.VMName]*Member{},
		probes:  map[uint64]*probe{},
		random:  rand.New(rand.NewPCG(c.Seed, uint64(len(c.Self)))),
		seeds:   map[string]bool{},
	}
	v.machine = life.NewVM(life.Store{
		Get: func() life.State { return v.cursor.State },
		Set: func(to life.State) { v.cursor.State = to },
	})
	return v
}

// SetFacts sets what this VM tells on every message.
func (v *View) SetFacts(f Facts) { v.facts = f }

// Seed adds addresses that may belong to VMs, from settings or the platform's
// list. They are probed until a VM answers from there.
func (v *View) Seed(addresses []string) {
	for _, a := range addresses {
		if a != v.self.Address {
			v.seeds[a] = true
		}
	}
}

// Leave makes this VM tell the others that it stops, and returns the messages.
func (v *View) Leave() []Action {
	v.self.State = life.VMLeft
	v.self.Incarnation++
	var out []Action
	for _, m := range v.sorted() {
		if m.State == life.VMAlive {
			out = append(out, v.ping(time.Time{}, m.Name, m.Address))
		}
	}
	return out
}

// Tick lets time pass.
func (v *View) Tick(now time.Time) []Action {
	var out []Action
	if !v.lastTick.IsZero() && now.Sub(v.lastTick) > pause {
		out = v.resume(now)
	}
	v.lastTick = now
	out = append(out, v.expireProbes(now)...)
	out = append(out, v.expireSuspects(now)...)
	if !now.Before(v.nextDue) {
		v.nextDue = now.Add(v.config.Timing.Probe)
		out = append(out, v.probeNext(now)...)
	}
	if !now.Before(v.retryDue) {
		v.retryDue = now.Add(v.config.Timing.Retry)
		out = append(out, v.probeLost(now)...)
	}
	return out
}

// resume drops probes from before a pause and gives suspects their time again.
// Others may suspect this VM by now: it refutes before it hears of that.
func (v *View) resume(now time.Time) []Action {
	clear(v.probes)
	for _, m := range v.members {
		if m.State == life.VMSuspect {
			m.Since = now
		}
	}
	v.self.Incarnation++
	v.tell(v.self)
	return v.announce(now)
}

// Announce tells some VMs at once what this VM tells on its messages.
func (v *View) Announce(now time.Time) []Action { return v.announce(now) }

// announce tells some VMs the latest news at once.
func (v *View) announce(now time.Time) []Action {
	var alive []*Member
	for _, m := range v.sorted() {
		if m.State == life.VMAlive {
			alive = append(alive, m)
		}
	}
	v.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var out []Action
	for _, m := range alive[:min(announceVMs, len(alive))] {
		out = append(out, v.ping(now, "", m.Address))
	}
	return out
}

func (v *View) probeNext(now time.Time) []Action {
	for range len(v.order) + 1 {
		if v.turn >= len(v.order) {
			v.reshuffle(now)
			if len(v.order) == 0 {
				return nil
			}
		}
		m := v.members[v.order[v.turn]]
		v.turn++
		if m != nil && (m.State == life.VMAlive || m.State == life.VMSuspect) {
			return []Action{v.ping(now, m.Name, m.Address)}
		}
	}
	return nil
}

func (v *View) reshuffle(now time.Time) {
	v.order = v.order[:0]
	v.turn = 0
	for _, m := range v.sorted() {
		gone := m.State == life.VMDead || m.State == life.VMLeft
		if gone && now.Sub(m.Since) > v.config.Timing.Forget && !v.seeds[m.Address] {
			delete(v.members, m.Name)
			v.byName = nil
			continue
		}
		v.order = append(v.order, m.Name)
	}
	v.random.Shuffle(len(v.order), func(i, j int) { v.order[i], v.order[j] = v.order[j], v.order[i] })
}

// probeLost probes one VM held dead and one address that no VM is known at, so
// that a cut that has healed is noticed.
func (v *View) probeLost(now time.Time) []Action {
	var lost []string
	known := map[string]bool{}
	for _, m := range v.sorted() {
		known[m.Address] = m.State == life.VMAlive || m.State == life.VMSuspect
		if m.State == life.VMDead {
			lost = append(lost, m.Address)
		}
	}
	for a := range v.seeds {
		if !known[a] && !slices.Contains(lost, a) {
			lost = append(lost, a)
		}
	}
	slices.Sort(lost)
	v.random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	var out []Action
	for _, a := range lost[:min(2, len(lost))] {
		out = append(out, v.ping(now, "", a))
	}
	return out
}

func (v *View) ping(now time.Time, target rollout.VMName, address string) Send {
	v.sequence++
	if target != "" {
		v.probes[v.sequence] = &probe{target: target, address: address, sent: now}
	}
	return Send{Address: address, Message: v.message(KindPing, v.sequence, "").withBelief(v.memberAt(address))}
}

// withBelief adds what is held of the receiver when it has to refute it.
func (m Message) withBelief(receiver *Member) Message {
	if receiver != nil && receiver.State != life.VMAlive {
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

func (v *View) message(k Kind, sequence uint64, target string) Message {
	return Message{Kind: k, Sequence: sequence, From: v.self, Target: target, Updates: v.takeNews(), Facts: v.facts}
}

// takeNews returns the news told the fewest times so far, the latest first
// among those.
func (v *View) takeNews() []Update {
	slices.SortStableFunc(v.news, func(a, b news) int { return a.sent - b.sent })
	n := min(maxUpdates, len(v.news))
	updates := make([]Update, 0, n)
	for i := range n {
		updates = append(updates, v.news[i].update)
		v.news[i].sent++
	}
	most := bits(len(v.members) + 1)
	v.news = slices.DeleteFunc(v.news, func(n news) bool { return n.sent >= most*n.factor })
	return updates
}

func bits(n int) int {
	b := 1
	for ; n > 1; n /= 2 {
		b++
	}
	return b
}

func (v *View) tell(u Update) { v.tellOften(u, updateFactor) }

func (v *View) tellOften(u Update, factor int) {
	v.news = slices.DeleteFunc(v.news, func(n news) bool { return n.update.Name == u.Name })
	v.news = append([]news{{update: u, factor: factor}}, v.news...)
}

func (v *View) expireProbes(now time.Time) []Action {
	var out []Action
	sequences := make([]uint64, 0, len(v.probes))
	for s := range v.probes {
		sequences = append(sequences, s)
	}
	slices.Sort(sequences)
	for _, s := range sequences {
		p := v.probes[s]
		age := now.Sub(p.sent)
		switch {
		case p.origin != "" && age > v.config.Timing.Indirect:
			delete(v.probes, s)
		case p.origin == "" && !p.indirect && age > v.config.Timing.Direct:
			p.indirect = true
			out = append(out, v.askOthers(s, p)...)
		case p.origin == "" && age > v.config.Timing.Direct+v.config.Timing.Indirect:
			delete(v.probes, s)
			out = append(out, v.suspect(now, p.target)...)
		}
	}
	return out
}

func (v *View) askOthers(sequence uint64, p *probe) []Action {
	var others []*Member
	for _, m := range v.sorted() {
		if m.State == life.VMAlive && m.Name != p.target {
			others = append(others, m)
		}
	}
	v.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var out []Action
	for _, m := range others[:min(indirectVMs, len(others))] {
		out = append(out, Send{Address: m.Address, Message: v.message(KindPingRequest, sequence, p.address)})
	}
	return out
}

func (v *View) suspect(now time.Time, name rollout.VMName) []Action {
	m := v.members[name]
	if m == nil || m.State != life.VMAlive {
		return nil
	}
	out := v.change(now, m, life.VMMiss)
	// The suspected VM itself must hear of it, to refute.
	out = append(out, v.ping(now, "", m.Address))
	return append(out, v.announce(now)...)
}

func (v *View) expireSuspects(now time.Time) []Action {
	var out []Action
	for _, m := range v.sorted() {
		if m.State == life.VMSuspect && now.Sub(m.Since) > v.config.Timing.Suspicion {
			out = append(out, v.change(now, m, life.VMConfirm)...)
			out = append(out, v.announce(now)...)
		}
	}
	return out
}

// change fires a transition, tells the news and reports it.
func (v *View) change(now time.Time, m *Member, t life.Trigger) []Action {
	v.cursor = m
	before := m.State
	if err := v.machine.Fire(t); err != nil {
		return nil
	}
	v.tell(m.update())
	if m.State == before {
		return nil
	}
	m.Since = now
	return []Action{Changed{Member: *m}}
}

func (m *Member) update() Update {
	return Update{Name: m.Name, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation, State: m.State}
}

// Received takes a message that came from an address.
func (v *View) Received(now time.Time, from string, msg Message) []Action {
	out := v.learn(now, msg.From)
	for _, u := range msg.Updates {
		out = append(out, v.learn(now, u)...)
	}
	if m := v.members[msg.From.Name]; m != nil {
		out = append(out, Heard{From: *m, Facts: msg.Facts})
	}
	switch msg.Kind {
	case KindPing:
		out = append(out, Send{Address: from, Message: v.message(KindAck, msg.Sequence, "").withBelief(v.members[msg.From.Name])})
	case KindAck:
		out = append(out, v.acked(msg)...)
	case KindPingRequest:
		v.sequence++
		v.probes[v.sequence] = &probe{address: msg.Target, sent: now, origin: from, sequence: msg.Sequence}
		out = append(out, Send{Address: msg.Target, Message: v.message(KindPing, v.sequence, "")})
	}
	return out
}

func (v *View) acked(msg Message) []Action {
	p := v.probes[msg.Sequence]
	if p == nil {
		return nil
	}
	delete(v.probes, msg.Sequence)
	if p.origin != "" {
		relay := v.message(KindAck, p.sequence, "")
		relay.Updates = append(relay.Updates, msg.From)
		return []Action{Send{Address: p.origin, Message: relay}}
	}
	return nil
}

// learn takes news of a VM.
func (v *View) learn(now time.Time, u Update) []Action {
	if u.Name == v.self.Name {
		return v.refute(now, u)
	}
	m := v.members[u.Name]
	if m == nil {
		return v.meet(now, u)
	}
	if u.Incarnation < m.Incarnation || (u.Incarnation == m.Incarnation && !graver(u.State, m.State)) {
		return nil
	}
	fresh := u.Incarnation > m.Incarnation
	m.Incarnation, m.Address, m.Zone = u.Incarnation, u.Address, u.Zone
	return v.change(now, m, trigger(m.State, u.State, fresh))
}

// refute raises the own incarnation above that of a rumor of suspicion or death.
func (v *View) refute(now time.Time, u Update) []Action {
	if u.State == life.VMAlive && u.Incarnation <= v.self.Incarnation {
		return nil
	}
	if v.self.State == life.VMLeft || u.Incarnation < v.self.Incarnation {
		return nil
	}
	v.self.Incarnation = u.Incarnation + 1
	v.tell(v.self)
	return v.announce(now)
}

func (v *View) meet(now time.Time, u Update) []Action {
	m := &Member{Name: u.Name, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation, State: u.State, Since: now}
	v.members[u.Name] = m
	v.byName = nil
	v.order = append(v.order, u.Name)
	factor := updateFactor
	if u.State == life.VMAlive {
		factor = joinFactor
	}
	v.tellOften(u, factor)
	return []Action{Changed{Member: *m}}
}

func graver(a, b life.State) bool { return gravity(a) > gravity(b) }

func gravity(s life.State) int {
	switch s {
	case life.VMAlive:
		return 0
	case life.VMSuspect:
		return 1
	case life.VMDead:
		return 2
	}
	return 3
}

func trigger(from, to life.State, fresh bool) life.Trigger {
	gone := from == life.VMDead || from == life.VMLeft
	switch to {
	case life.VMAlive:
		if gone {
			return life.VMRejoin
		}
		return life.VMRefute
	case life.VMSuspect:
		if gone && fresh {
			return life.VMRejoin
		}
		return life.VMMiss
	case life.VMLeft:
		return life.VMLeave
	}
	return life.VMConfirm
}

// sorted returns the members by name. The slice is kept until one comes or goes.
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

// Members returns the other VMs by name.
func (v *View) Members() []Member {
	sorted := v.sorted()
	out := make([]Member, 0, len(sorted))
	for _, m := range sorted {
		out = append(out, *m)
	}
	return out
}

// Self returns this VM as the others should see it.
func (v *View) Self() Member { return memberOf(v.self) }

func memberOf(u Update) Member {
	return Member{Name: u.Name, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation, State: u.State}
}
