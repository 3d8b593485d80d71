// Package placement implements load balancing: it picks the backend server for
// each request. For every server of one pool or service it tracks the requests
// that this VM has in flight there, an adaptive concurrency limit, the latest
// load report, which may be out of date, and recent failures.
//
// The package does no I/O and reads no clock; the caller passes the time.
//
// Invariants:
//   - a server that is leaving or not declared is never picked;
//   - at most half of the servers are ejected at a time;
//   - a server at its limit is never picked, and rollouts and scoring requests
//     leave the configured reserve of the limit free;
//   - a server with a request rate limit gets one request for each permit.
//
// Load reports and weight versions are hints that influence the choice; no
// guarantee depends on them.
package placement

import (
	"cmp"
	"slices"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/spill"
)

// Policy selects how a server is chosen among the eligible ones.
type Policy uint8

// The policies. [PolicyRoundRobin] and [PolicyLeastOutstanding] are baselines for
// comparison.
const (
	// PolicyLocality prefers lightly loaded and fast servers, servers that
	// recently served the same prompt prefix and, except for rollouts, servers
	// of the VM's own zone.
	PolicyLocality Policy = iota
	PolicyRoundRobin
	PolicyLeastOutstanding
)

// Config is the configuration of a [Pool].
type Config struct {
	// Zone is the availability zone of this VM, whose servers are preferred for
	// other classes than rollouts.
	Zone rollout.Zone
	// MaxConcurrency is the maximum of the concurrency limit of a server that has none of
	// its own.
	MaxConcurrency int
	// Reserve is how many requests of such a server's limit are not available to
	// rollouts and scoring requests. A server with another maximum reserves the same
	// share of it.
	Reserve int
	// InitialLimit is the initial concurrency limit of a new server; 0 means 8.
	InitialLimit int
	Policy       Policy
	// Engines reports whether the servers are model engines. Their servers are not chosen by
	// the estimated time, because streams and samples run for seconds.
	Engines bool
	// BytePrice is the price of a byte between zones, in seconds of waiting; 0 means none.
	BytePrice float64
}

// Parameters of the adaptive concurrency limit, of ejection and of prefix
// locality.
const (
	defaultInitialLimit = 8
	minLimit            = 2
	slowdownFactor      = 3.0
	decreaseFactor      = 0.9
	decreaseSpacing     = time.Second
	baselineDecay       = 1.0005
	ejectAfter          = 3
	ejectBase           = time.Second
	ejectMax            = 30 * time.Second
	maxPrefixes         = 256
	maxPrefixBonus      = 0.5
)

type server struct {
	declared rollout.Server
	inFlight int
	limit    float64
	// baselineUnitTime is the shortest recent time per unit of each class of requests, in
	// seconds. Classes differ: a scoring request may take ten times as long as a caller's.
	baselineUnitTime map[rollout.Class]float64
	lastDecrease     time.Time
	failures         int
	ejections        int
	ejectedUntil     time.Time
	listedLeaving    bool
	leavingUntil     time.Time
	report           rollout.LoadReport
	prefixes         map[uint64]time.Time
	// unitTime is a moving average of the seconds per unit of work; unitTimeAt is
	// when it was last updated.
	unitTime   float64
	unitTimeAt time.Time
	quota      rateQuota
	refusals   refusals
	load       statedLoad
	zone       *zone
}

// Pool is the placement state of one pool or service.
type Pool struct {
	config   Config
	servers  []*server
	rotation int
	// eligibleServers, times and others are buffers that are used again.
	eligibleServers []*server
	times           []float64
	others          []spill.Zone

	zones []*zone
	// statedAt is when a server last stated its load, work the usual time of work in
	// seconds. It and the zones' round trips were computed at refreshedAt.
	statedAt    time.Time
	work        float64
	refreshedAt time.Time
	// spill was last updated at spillAt.
	spill     spill.Controller
	spillAt   time.Time
	demand    demand
	meanBytes float64
	// unserved reports whether no server of the home zone could take the last request.
	unserved bool
	report   SpillReport
}

// New returns a pool without servers.
func New(c Config) *Pool { return &Pool{config: c} }

// Configure applies the configuration and the servers of the pool. A server that
// was already declared with the same address and incarnation keeps its state; another
// incarnation keeps only the requests in flight, which end in any case.
func (p *Pool) Configure(c Config, declared []rollout.Server) {
	p.config = c
	known := map[rollout.ServerName]*server{}
	for _, s := range p.servers {
		known[s.declared.Name] = s
	}
	p.servers = p.servers[:0:0]
	for _, d := range declared {
		old := known[d.Name]
		s := old
		if old == nil || old.declared.Address != d.Address || old.declared.Incarnation != d.Incarnation {
			s = &server{limit: float64(c.initialLimit()), prefixes: map[uint64]time.Time{}, baselineUnitTime: map[rollout.Class]float64{}}
		}
		if old != nil {
			s.inFlight = old.inFlight
		}
		s.declared, s.zone = d, p.findZone(d.Zone)
		s.limit = min(s.limit, float64(s.maxLimit(c)))
		p.servers = append(p.servers, s)
	}
}

// maxLimit returns the maximum of the server's concurrency limit.
func (s *server) maxLimit(c Config) int {
	return cmp.Or(s.declared.MaxConcurrency, c.MaxConcurrency)
}

// reserve returns how many requests of the server's limit are not available to rollouts
// and scoring requests.
func (s *server) reserve(c Config) float64 {
	if c.MaxConcurrency <= 0 {
		return float64(c.Reserve)
	}
	return float64(c.Reserve) * float64(s.maxLimit(c)) / float64(c.MaxConcurrency)
}

func (c Config) initialLimit() int {
	if c.InitialLimit > 0 {
		return c.InitialLimit
	}
	return defaultInitialLimit
}

// Pick returns the server for a request, or false if no server can take it now.
func (p *Pool) Pick(now time.Time, r Requirements) (rollout.Server, bool) {
	eligible := p.eligible(now, r)
	if len(eligible) == 0 {
		return rollout.Server{}, false
	}
	if p.usesEstimate(now, r.Class) {
		return p.chooseByEstimate(now, eligible).declared, true
	}
	return p.choose(now, eligible, r).declared, true
}

// Serves reports whether any server could take the request regardless of load and
// ejections. Weight versions count only for a request that may use some of the servers:
// orders provide for as many servers with a version as a model needs, whichever these are,
// so that such a request may wait in vain for one of its own.
func (p *Pool) Serves(now time.Time, r Requirements) bool {
	for _, s := range p.servers {
		if s.suits(now, r) && !(r.Restricted() && s.hasOlderWeights(r)) {
			return true
		}
	}
	return false
}

// HasRoom reports whether a server can take the request now.
func (p *Pool) HasRoom(now time.Time, r Requirements) bool { return len(p.eligible(now, r)) > 0 }

// eligible returns the servers to which a request may be sent now. The slice is valid until
// the next call.
func (p *Pool) eligible(now time.Time, r Requirements) []*server {
	eligible := p.eligibleServers[:0]
	for _, s := range p.servers {
		if p.canTake(now, s, r) {
			eligible = append(eligible, s)
		}
	}
	p.eligibleServers = eligible
	return eligible
}

// canTake reports whether a request may be sent to a server now.
func (p *Pool) canTake(now time.Time, s *server, r Requirements) bool {
	return p.hasRoom(now, s, r) && s.permits(now)
}

// hasRoom reports whether a server may take a request, regardless of its request rate
// limit.
func (p *Pool) hasRoom(now time.Time, s *server, r Requirements) bool {
	if !s.suits(now, r) || now.Before(s.ejectedUntil) || !s.refusals.permits(now, s.limit) {
		return false
	}
	return !s.isTooSlow(now, r) && s.hasWeights(r) && float64(s.inFlight) < p.classLimit(s, r.Class)
}

func (s *server) isLeaving(now time.Time) bool {
	return s.declared.Leaving || s.listedLeaving || s.report.Leaving || now.Before(s.leavingUntil)
}

// classLimit returns the number of requests in flight below which a server may
// get another one of the given class.
func (p *Pool) classLimit(s *server, c rollout.Class) float64 {
	if c == rollout.ClassRollout || c == rollout.ClassScoring {
		return max(1, s.limit-s.reserve(p.config))
	}
	return s.limit
}

func (p *Pool) choose(now time.Time, eligible []*server, r Requirements) *server {
	switch p.config.Policy {
	case PolicyRoundRobin:
		p.rotation++
		return eligible[p.rotation%len(eligible)]
	case PolicyLeastOutstanding:
		return slices.MinFunc(eligible, func(a, b *server) int { return cmp.Compare(a.inFlight, b.inFlight) })
	case PolicyLocality:
	}
	p.rotation++
	fastest := p.shortestUnitTime(now)
	best, bestScore := eligible[0], 0.0
	for i := range eligible {
		s := eligible[(i+p.rotation)%len(eligible)]
		if score := p.score(s, r) + s.slowdownPenalty(now, fastest) + s.pacePenalty(now); i == 0 || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// Parameters of the preference for faster servers.
const (
	// unitTimeMaxAge is how long a measurement is used. After that a server that
	// was slow is tried again.
	unitTimeMaxAge = 4 * time.Second
	// unitTimeWeight is the weight of the newest measurement in the moving average.
	unitTimeWeight = 0.4
	// slowdownWeight is the penalty of a server that takes twice as long as the
	// fastest one.
	slowdownWeight = 0.6
)

// shortestUnitTime returns the lowest recent unit time of all servers in
// seconds, or 0 if there is none.
func (p *Pool) shortestUnitTime(now time.Time) float64 {
	best := 0.0
	for _, s := range p.servers {
		if s.unitTime > 0 && now.Sub(s.unitTimeAt) < unitTimeMaxAge && (best == 0 || s.unitTime < best) {
			best = s.unitTime
		}
	}
	return best
}

func (s *server) slowdownPenalty(now time.Time, fastest float64) float64 {
	if fastest == 0 || s.unitTime == 0 || now.Sub(s.unitTimeAt) >= unitTimeMaxAge {
		return 0
	}
	return slowdownWeight * (s.unitTime/fastest - 1)
}

// recordUnitTime adds a measurement, in seconds per unit of work, to the moving
// average. It ignores perUnit <= 0.
func (s *server) recordUnitTime(now time.Time, perUnit float64) {
	if perUnit <= 0 {
		return
	}
	if s.unitTime == 0 || now.Sub(s.unitTimeAt) >= unitTimeMaxAge {
		s.unitTime = perUnit
	}
	s.unitTime += unitTimeWeight * (perUnit - s.unitTime)
	s.unitTimeAt = now
}

// otherZonePenalty keeps requests in the VM's own zone until the servers there
// are nearly full.
const otherZonePenalty = 0.8

// score returns the load of a server relative to its limit, lowered if it
// recently served the same prompt prefix. For other classes than rollouts it is
// raised if the server is in another zone. A lower score is better.
func (p *Pool) score(s *server, r Requirements) float64 {
	load := float64(max(s.inFlight, s.report.Running/2)) / max(s.limit, 1)
	score := load
	if r.Prefix != 0 {
		if _, ok := s.prefixes[r.Prefix]; ok {
			score -= maxPrefixBonus * (1 - min(load, 1))
		}
	}
	if r.Class != rollout.ClassRollout && r.Class != rollout.ClassScoring && s.declared.Zone != p.config.Zone {
		score += otherZonePenalty
	} else if p.config.BytePrice > 0 && s.declared.Zone != p.config.Zone {
		score += bytePricePenalty
	}
	return score
}

func (p *Pool) lookup(name rollout.ServerName) *server {
	for _, s := range p.servers {
		if s.declared.Name == name {
			return s
		}
	}
	return nil
}

// Sent records that a request was sent to a server.
func (p *Pool) Sent(now time.Time, name rollout.ServerName, r Requirements) {
	s := p.lookup(name)
	if s == nil {
		return
	}
	s.inFlight++
	s.load.sentSince++
	s.refusals.sent++
	if p.usesEstimate(now, r.Class) {
		p.recordSent(now, s, r.Bytes)
	}
	s.takePermit()
	if r.Prefix != 0 {
		s.recordPrefix(now, r.Prefix)
	}
}

// recordPrefix evicts the least recently used prefix above maxPrefixes.
func (s *server) recordPrefix(now time.Time, prefix uint64) {
	s.prefixes[prefix] = now
	if len(s.prefixes) <= maxPrefixes {
		return
	}
	oldest, at := prefix, now
	for h, t := range s.prefixes {
		if t.Before(at) {
			oldest, at = h, t
		}
	}
	delete(s.prefixes, oldest)
}

// Outcome is the result of a request.
type Outcome struct {
	// Class is the class of the request.
	Class rollout.Class
	// Failed reports whether the server aborted its answer or refused the
	// connection.
	Failed bool
	// Refused reports whether the server rejected the request in its protocol.
	Refused bool
	// Leaving reports whether the server rejected the request because it is
	// leaving.
	Leaving bool
	// SecondsPerUnit is the time in seconds per token, or for a whole call of a
	// service, the time in the server's queue included; 0 if it was not measured.
	SecondsPerUnit float64
	// Pace is the time in seconds per unit of a running request, without the time
	// until its first unit; 0 if it was not measured apart.
	Pace float64
}

// RefusalOutcome returns the outcome of a request that its server did not run.
func RefusalOutcome(f *rollout.Failure) Outcome {
	switch f.Reason {
	case rollout.ReasonServerRefused:
		return Outcome{Refused: true}
	case rollout.ReasonDraining:
		return Outcome{Leaving: true}
	default:
		return Outcome{Failed: true}
	}
}

// leavingHold is how long a server that rejected a request because it is leaving
// gets no requests, so that a list or a load report has time to confirm it.
const leavingHold = 30 * time.Second

// Ended records that a request is no longer in flight and updates the server's
// state from its outcome.
func (p *Pool) Ended(now time.Time, name rollout.ServerName, o Outcome) {
	s := p.lookup(name)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if o.Failed || o.SecondsPerUnit > 0 {
		s.zone.recordLoss(now, o.Failed)
	}
	if !o.Failed && !o.Refused && !o.Leaving && o.SecondsPerUnit > 0 && (o.Class == rollout.ClassService || o.Class == rollout.ClassInteractive) {
		p.measure(now, s, o.SecondsPerUnit)
	}
	s.recordUnitTime(now, cmp.Or(o.Pace, o.SecondsPerUnit))
	switch {
	case o.Leaving:
		s.leavingUntil = now.Add(leavingHold)
	case o.Failed:
		p.recordFailure(now, s)
	case o.Refused:
		s.refusals.recordRefusal(now)
		s.decreaseLimit(now)
	default:
		s.failures, s.ejections = 0, 0
		s.adaptLimit(now, o, s.maxLimit(p.config))
	}
}

// recordFailure counts a failure and ejects the server after ejectAfter failures
// without a success, unless half of the servers are ejected already. The
// ejection time doubles with each ejection, up to ejectMax.
func (p *Pool) recordFailure(now time.Time, s *server) {
	s.failures++
	if s.failures < ejectAfter || p.ejectedCount(now) >= len(p.servers)/2 {
		return
	}
	s.failures = 0
	s.ejectedUntil = now.Add(min(ejectBase<<min(s.ejections, 6), ejectMax))
	s.ejections++
	s.limit = minLimit
}

func (p *Pool) ejectedCount(now time.Time) int {
	count := 0
	for _, s := range p.servers {
		if now.Before(s.ejectedUntil) {
			count++
		}
	}
	return count
}

// adaptLimit adjusts the concurrency limit (additive increase, multiplicative
// decrease). The limit is lowered when the time per unit exceeds slowdownFactor times
// the baseline of the request's class. Otherwise, if at least half of the limit is in
// use, each answer raises it by 1/limit.
func (s *server) adaptLimit(now time.Time, o Outcome, maxLimit int) {
	perUnit := o.SecondsPerUnit
	if perUnit <= 0 {
		return
	}
	baseline := s.baselineUnitTime[o.Class]
	if baseline == 0 || perUnit < baseline {
		baseline = perUnit
	}
	baseline *= baselineDecay
	s.baselineUnitTime[o.Class] = baseline
	if perUnit > slowdownFactor*baseline {
		s.decreaseLimit(now)
		return
	}
	if float64(s.inFlight)+1 >= s.limit/2 {
		s.limit = min(s.limit+1/s.limit, float64(maxLimit))
	}
}

// decreaseLimit lowers the limit by decreaseFactor, at most once per
// decreaseSpacing.
func (s *server) decreaseLimit(now time.Time) {
	if now.Sub(s.lastDecrease) < decreaseSpacing {
		return
	}
	s.lastDecrease = now
	s.limit = max(minLimit, s.limit*decreaseFactor)
}

// UpdateLoad stores the latest load report of a server.
func (p *Pool) UpdateLoad(name rollout.ServerName, r rollout.LoadReport) {
	if s := p.lookup(name); s != nil {
		s.report = r
	}
}

// ObserveVersion records the weight version that came with tokens of a server. It
// is more recent than the last load report.
func (p *Pool) ObserveVersion(name rollout.ServerName, model rollout.ModelName, v rollout.WeightVersion) {
	s := p.lookup(name)
	if s == nil || s.report.Loaded[model] >= v {
		return
	}
	loaded := map[rollout.ModelName]rollout.WeightVersion{model: v}
	for m, old := range s.report.Loaded {
		if m != model {
			loaded[m] = old
		}
	}
	s.report.Loaded = loaded
}

// SetListedLeaving sets which server addresses the platform lists as leaving.
func (p *Pool) SetListedLeaving(leaving map[string]bool) {
	for _, s := range p.servers {
		s.listedLeaving = leaving[s.declared.Address]
	}
}

// View is the state of a server as shown on the status page.
type View struct {
	Server   rollout.ServerName
	Zone     rollout.Zone
	InFlight int
	Limit    float64
	Ejected  bool
	Leaving  bool
	Loaded   map[rollout.ModelName]rollout.WeightVersion
	Running  int
}

// Views returns the state of all servers in the order of their declaration.
func (p *Pool) Views(now time.Time) []View {
	views := make([]View, 0, len(p.servers))
	for _, s := range p.servers {
		views = append(views, View{
			Server:   s.declared.Name,
			Zone:     s.declared.Zone,
			InFlight: s.inFlight,
			Limit:    s.limit,
			Ejected:  now.Before(s.ejectedUntil),
			Leaving:  s.isLeaving(now),
			Loaded:   s.report.Loaded,
			Running:  s.report.Running,
		})
	}
	return views
}
