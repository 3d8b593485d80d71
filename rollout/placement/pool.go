// Package placement decides which backend server gets a piece of work. It keeps
// for each server of one pool or service what this VM has in flight there, an
// adaptive limit, the server's lagging load reports, and what it failed lately.
//
// It is pure: the caller passes the time. Invariants: a leaving or undeclared
// server is never picked; at most half of the servers are ejected at a time; a
// server is never picked over its limit, and rollouts leave the declared reserve
// free. Load reports and versions are hints that steer; no promise rests on
// them.
package placement

import (
	"cmp"
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Policy picks among the servers that may serve.
type Policy uint8

// The policies. RoundRobin and LeastOutstanding are baselines.
const (
	PolicyLocality Policy = iota
	PolicyRoundRobin
	PolicyLeastOutstanding
)

// Config configures a pool's placement.
type Config struct {
	// Zone is this VM's zone; servers of the zone go first.
	Zone rollout.Zone
	// MaxConcurrency bounds each server's limit.
	MaxConcurrency int
	// Reserve is how much of a limit rollouts leave free.
	Reserve int
	// Start is the limit of a server that nothing is known of; 0 means 8.
	Start  int
	Policy Policy
}

// Numbers of the adaptive limit and of ejection.
const (
	startLimit      = 8
	minLimit        = 2
	slowdownFactor  = 3.0
	decreaseFactor  = 0.9
	decreaseSpacing = time.Second
	baselineDecay   = 1.0005
	ejectAfter      = 3
	ejectBase       = time.Second
	ejectMax        = 30 * time.Second
	maxPrefixes     = 256
	maxPrefixBonus  = 0.5
)

// server is what is known of one backend server.
type server struct {
	declared  rollout.Server
	inFlight  int
	limit     float64
	baseline  float64
	lowered   time.Time
	failures  int
	ejections int
	ejected   time.Time
	listed    bool
	refusing  time.Time
	report    rollout.LoadReport
	prefixes  map[uint64]time.Time
	// pace is the time for a unit of work lately, paced when it was measured.
	pace  float64
	paced time.Time
}

// Pool is the placement state of one pool or service.
type Pool struct {
	config  Config
	servers []*server
	turn    int
}

// New returns a pool without servers.
func New(c Config) *Pool { return &Pool{config: c} }

// Declare takes the servers and bounds of a configuration. Known servers keep
// what was learnt about them.
func (p *Pool) Declare(c Config, declared []rollout.Server) {
	p.config = c
	known := map[rollout.ServerName]*server{}
	for _, s := range p.servers {
		known[s.declared.Name] = s
	}
	p.servers = p.servers[:0:0]
	for _, d := range declared {
		s := known[d.Name]
		if s == nil || s.declared.Address != d.Address {
			s = &server{limit: float64(c.start()), prefixes: map[uint64]time.Time{}}
		}
		s.declared = d
		s.limit = min(s.limit, float64(c.MaxConcurrency))
		p.servers = append(p.servers, s)
	}
}

func (c Config) start() int {
	if c.Start > 0 {
		return c.Start
	}
	return startLimit
}

// Want describes a piece of work.
type Want struct {
	Class rollout.Class
	Model rollout.ModelName
	// MinVersion is the oldest version that may generate; 0 takes any.
	MinVersion rollout.WeightVersion
	// Prefix is a hash of the prompt; 0 means none.
	Prefix uint64
	// Avoid lists servers that must not get the work.
	Avoid []rollout.ServerName
}

// Pick returns the server that should get the work now.
func (p *Pool) Pick(now time.Time, w Want) (rollout.Server, bool) {
	able := p.able(now, w)
	if len(able) == 0 {
		return rollout.Server{}, false
	}
	return p.choose(now, able, w).declared, true
}

// Serves reports whether any server could ever take the work, apart from load.
func (p *Pool) Serves(now time.Time, w Want) bool {
	for _, s := range p.servers {
		if !s.leaving(now) && !slices.Contains(w.Avoid, s.declared.Name) {
			return true
		}
	}
	return false
}

func (p *Pool) able(now time.Time, w Want) []*server {
	var able []*server
	for _, s := range p.servers {
		if p.takes(now, s, w) {
			able = append(able, s)
		}
	}
	return able
}

func (p *Pool) takes(now time.Time, s *server, w Want) bool {
	if s.leaving(now) || now.Before(s.ejected) || slices.Contains(w.Avoid, s.declared.Name) {
		return false
	}
	if w.MinVersion > 0 && s.report.Loaded != nil && s.report.Loaded[w.Model] < w.MinVersion {
		return false
	}
	return float64(s.inFlight) < p.room(s, w.Class)
}

func (s *server) leaving(now time.Time) bool {
	return s.declared.Leaving || s.listed || s.report.Leaving || now.Before(s.refusing)
}

// room is how many requests of a class a server may have from this VM.
func (p *Pool) room(s *server, c rollout.Class) float64 {
	if c == rollout.ClassRollout {
		return max(1, s.limit-float64(p.config.Reserve))
	}
	return s.limit
}

func (p *Pool) choose(now time.Time, able []*server, w Want) *server {
	switch p.config.Policy {
	case PolicyRoundRobin:
		p.turn++
		return able[p.turn%len(able)]
	case PolicyLeastOutstanding:
		return slices.MinFunc(able, func(a, b *server) int { return cmp.Compare(a.inFlight, b.inFlight) })
	case PolicyLocality:
	}
	p.turn++
	fastest := p.fastest(now)
	best, bestScore := able[0], 0.0
	for i := range able {
		s := able[(i+p.turn)%len(able)]
		if score := p.score(s, w) + s.slowness(now, fastest); i == 0 || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// Numbers of the preference for faster servers.
const (
	// paceAge is how long a measured pace counts; a server that was slow gets
	// work again after it.
	paceAge = 4 * time.Second
	// paceWeight is the newest measurement's part of the pace.
	paceWeight = 0.4
	// slowPenalty is what a server that takes twice as long loses in its score.
	slowPenalty = 0.6
)

// fastest returns the best pace among the servers lately, or 0.
func (p *Pool) fastest(now time.Time) float64 {
	best := 0.0
	for _, s := range p.servers {
		if s.pace > 0 && now.Sub(s.paced) < paceAge && (best == 0 || s.pace < best) {
			best = s.pace
		}
	}
	return best
}

// slowness is what a server's score loses by its pace.
func (s *server) slowness(now time.Time, fastest float64) float64 {
	if fastest == 0 || s.pace == 0 || now.Sub(s.paced) >= paceAge {
		return 0
	}
	return slowPenalty * (s.pace/fastest - 1)
}

// measured takes the time that a unit of work took.
func (s *server) measured(now time.Time, perUnit float64) {
	if perUnit <= 0 {
		return
	}
	if s.pace == 0 || now.Sub(s.paced) >= paceAge {
		s.pace = perUnit
	}
	s.pace += paceWeight * (perUnit - s.pace)
	s.paced = now
}

// otherZonePenalty keeps work in its zone until the zone's servers are nearly
// full.
const otherZonePenalty = 0.8

// score is lower for a better server: its load as a share of its limit, less a
// bonus for a prompt that it served lately, more when it is in another zone.
func (p *Pool) score(s *server, w Want) float64 {
	busy := float64(max(s.inFlight, s.report.Running/2)) / max(s.limit, 1)
	score := busy
	if w.Prefix != 0 {
		if _, ok := s.prefixes[w.Prefix]; ok {
			score -= maxPrefixBonus * (1 - min(busy, 1))
		}
	}
	if w.Class != rollout.ClassRollout && s.declared.Zone != p.config.Zone {
		score += otherZonePenalty
	}
	return score
}

func (p *Pool) find(name rollout.ServerName) *server {
	for _, s := range p.servers {
		if s.declared.Name == name {
			return s
		}
	}
	return nil
}

// Sent counts a piece of work as in flight.
func (p *Pool) Sent(now time.Time, name rollout.ServerName, w Want) {
	s := p.find(name)
	if s == nil {
		return
	}
	s.inFlight++
	if w.Prefix != 0 {
		s.remember(now, w.Prefix)
	}
}

func (s *server) remember(now time.Time, prefix uint64) {
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

// Outcome is how a piece of work ended.
type Outcome struct {
	// Failed tells that the server broke its answer off or refused the connection.
	Failed bool
	// Refused tells that the server's own protocol refused the work.
	Refused bool
	// Leaving tells that the server refused because it is leaving.
	Leaving bool
	// PerUnit is seconds for a token, or for the whole call of a service; 0 when
	// not measured.
	PerUnit float64
}

// refusalHold is how long a server that said it is leaving gets nothing, so
// that a list or a report has time to confirm it.
const refusalHold = 30 * time.Second

// Ended counts a piece of work as no longer in flight and learns from it.
func (p *Pool) Ended(now time.Time, name rollout.ServerName, o Outcome) {
	s := p.find(name)
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.measured(now, o.PerUnit)
	switch {
	case o.Leaving:
		s.refusing = now.Add(refusalHold)
	case o.Failed:
		p.failed(now, s)
	case o.Refused:
		s.lower(now)
	default:
		s.failures, s.ejections = 0, 0
		s.adapt(now, o.PerUnit, p.config.MaxConcurrency)
	}
}

func (p *Pool) failed(now time.Time, s *server) {
	s.failures++
	if s.failures < ejectAfter || p.ejectedCount(now) >= len(p.servers)/2 {
		return
	}
	s.failures = 0
	s.ejected = now.Add(min(ejectBase<<min(s.ejections, 6), ejectMax))
	s.ejections++
	s.limit = minLimit
}

func (p *Pool) ejectedCount(now time.Time) int {
	count := 0
	for _, s := range p.servers {
		if now.Before(s.ejected) {
			count++
		}
	}
	return count
}

// adapt raises the limit by one for each limit's worth of answers while time
// per token stays near its baseline, and lowers it when it grows beyond.
func (s *server) adapt(now time.Time, perUnit float64, most int) {
	if perUnit <= 0 {
		return
	}
	if s.baseline == 0 || perUnit < s.baseline {
		s.baseline = perUnit
	}
	s.baseline *= baselineDecay
	if perUnit > slowdownFactor*s.baseline {
		s.lower(now)
		return
	}
	if float64(s.inFlight)+1 >= s.limit/2 {
		s.limit = min(s.limit+1/s.limit, float64(most))
	}
}

func (s *server) lower(now time.Time) {
	if now.Sub(s.lowered) < decreaseSpacing {
		return
	}
	s.lowered = now
	s.limit = max(minLimit, s.limit*decreaseFactor)
}

// Reported takes a server's load report.
func (p *Pool) Reported(name rollout.ServerName, r rollout.LoadReport) {
	if s := p.find(name); s != nil {
		s.report = r
	}
}

// Saw takes the version that came with a server's tokens, which is newer than
// any report.
func (p *Pool) Saw(name rollout.ServerName, model rollout.ModelName, v rollout.WeightVersion) {
	s := p.find(name)
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

// Listed takes the addresses that the platform's list shows as leaving.
func (p *Pool) Listed(leaving map[string]bool) {
	for _, s := range p.servers {
		s.listed = leaving[s.declared.Address]
	}
}

// View is what a status page shows of a server.
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

// Views returns the servers in declared order.
func (p *Pool) Views(now time.Time) []View {
	views := make([]View, 0, len(p.servers))
	for _, s := range p.servers {
		views = append(views, View{
			Server:   s.declared.Name,
			Zone:     s.declared.Zone,
			InFlight: s.inFlight,
			Limit:    s.limit,
			Ejected:  now.Before(s.ejected),
			Leaving:  s.leaving(now),
			Loaded:   s.report.Loaded,
			Running:  s.report.Running,
		})
	}
	return views
}
