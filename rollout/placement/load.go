package placement

import (
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Parameters of the estimate from the load that servers state.
const (
	// loadMaxAge is the age from which a stated number of requests is worth nothing,
	// paceMaxAge that of a stated pace. Both change many times a second.
	loadMaxAge = 100 * time.Millisecond
	paceMaxAge = 600 * time.Millisecond
	// usualMaxAge is the age from which the averages of a server's figures, which replace
	// figures that are too old, are worth nothing either.
	usualMaxAge = 15 * time.Second
	// statedMaxAge is how long after the last stated pace of a server estimates are used.
	statedMaxAge = 30 * time.Second
	// averagingTime is the time constant of the averages in seconds. The weight of one
	// figure is limited, because few of them say little.
	averagingTime   = 1.0
	minFigureWeight = 0.02
	maxFigureWeight = 0.3
	// workWeight is the weight of the newest measurement in the average time of work. Longer
	// times have the weight longerWorkWeight, so that a queue which a server doesn't state is
	// not taken for work.
	workWeight       = 0.1
	longerWorkWeight = 0.03
	// excessWeight is the weight of the newest measurement of how much longer requests
	// take than the server's figures say. Times vary, so that only an excess above
	// minExcess counts; it is worth nothing from unitTimeMaxAge on.
	excessWeight = 0.2
	minExcess    = 1.5
	maxExcess    = 8.0
	// runningWeight is the part of a request that a running one counts as while the
	// server has free slots: it says that a queue may form until the request arrives.
	runningWeight = 0.3
	// refreshInterval is how often the usual time of work and the zones' round trips are
	// computed again.
	refreshInterval = 100 * time.Millisecond
	// paceWeight is the penalty of an engine whose work takes twice the usual time now. A
	// sample runs for seconds and the state lasts for some hundred milliseconds.
	paceWeight     = 0.2
	maxPacePenalty = 0.6
)

// statedLoad is what a server states of its load, and how its responses compare to it.
type statedLoad struct {
	latest rollout.ServerLoad
	// sentSince is the number of requests sent since the latest figures.
	sentSince int
	// usualAhead and usualPace are averages of the figures.
	usualAhead, usualPace float64
	// work is the average time in seconds that a request takes at the usual pace, without
	// the time in the server's queue; 0 if it is not known.
	work float64
	// excess is the average ratio of the measured time of requests to the expected one.
	excess   float64
	excessAt time.Time
	// shortest are the shortest times to answer in the current and in the previous window
	// in seconds, 0 if there are none.
	shortest [2]float64
	windowAt time.Time
	// estimate is scratch space of Pool.chooseByEstimate.
	estimate float64
}

// worth returns the weight of a figure of the given age.
func worth(age, maxAge time.Duration) float64 {
	return max(0, min(1, 1-float64(age)/float64(maxAge)))
}

// ObserveLoad records the load that a server states in a response.
func (p *Pool) ObserveLoad(name rollout.ServerName, l rollout.ServerLoad) {
	s := p.lookup(name)
	if s == nil || l.Slots <= 0 || l.Pace <= 0 || l.At.Before(s.load.latest.At) {
		return
	}
	o := &s.load
	if o.latest.At.IsZero() || l.At.Sub(o.latest.At) > usualMaxAge {
		o.usualAhead, o.usualPace = 0, 100
	}
	weight := max(minFigureWeight, min(maxFigureWeight, l.At.Sub(o.latest.At).Seconds()/averagingTime))
	o.usualAhead += weight * (float64(l.Running+l.Waiting) - o.usualAhead)
	o.usualPace += weight * (l.Pace - o.usualPace)
	o.latest, o.sentSince = l, 0
	p.statedAt = l.At
}

// usesEstimate reports whether the server of a request is chosen by the estimated time
// until it is complete: a caller's request to a plain service whose servers state a pace.
func (p *Pool) usesEstimate(now time.Time, c rollout.Class) bool {
	return !p.config.Engines && p.config.Policy == PolicyLocality && p.work > 0 && (c == rollout.ClassService || c == rollout.ClassInteractive) &&
		!p.statedAt.IsZero() && now.Sub(p.statedAt) < statedMaxAge
}

// pace returns how long work takes on the server now, as a multiple of the usual time.
func (o *statedLoad) pace(age time.Duration) float64 {
	if o.latest.At.IsZero() {
		return 1
	}
	usual := 100 + worth(age, usualMaxAge)*(o.usualPace-100)
	w := worth(age, paceMaxAge)
	return (w*o.latest.Pace + (1-w)*usual) / 100
}

// slots returns the number of requests that the server runs at once.
func (s *server) slots(c Config) float64 {
	if s.load.latest.Slots > 0 {
		return float64(s.load.latest.Slots)
	}
	return float64(max(1, s.maxLimit(c)/2))
}

// requests returns the expected number of requests at the server. This VM's own ones count
// whatever the server states.
func (s *server) requests(age time.Duration) float64 {
	o := &s.load
	w := worth(age, loadMaxAge)
	stated := w*float64(o.latest.Running+o.latest.Waiting+o.sentSince) + (1-w)*worth(age, usualMaxAge)*o.usualAhead
	return max(float64(s.inFlight), stated)
}

// estimateSeconds returns the time in seconds until a request would be complete at the
// server, without the way there.
func (p *Pool) estimateSeconds(now time.Time, s *server) float64 {
	age := now.Sub(s.load.latest.At)
	n, slots := s.requests(age), s.slots(p.config)
	ahead := max(0, n+1-slots) + runningWeight*min(n, slots)
	return (ahead/slots + 1) * p.work * s.load.pace(age) * s.load.excessFactor(now)
}

// spare returns how many requests a second the server could run besides those of others.
func (p *Pool) spare(now time.Time, s *server) float64 {
	age := now.Sub(s.load.latest.At)
	slots := s.slots(p.config)
	return max(0, slots-s.requests(age)+float64(s.inFlight)) / (p.work * s.load.pace(age))
}

// excessFactor returns the factor by which requests take longer than the figures say.
func (o *statedLoad) excessFactor(now time.Time) float64 {
	if o.excess <= minExcess {
		return 1
	}
	return 1 + worth(now.Sub(o.excessAt), unitTimeMaxAge)*(o.excess/minExcess-1)
}

// measure compares the time of a request, in seconds, to the figures in its response.
func (p *Pool) measure(now time.Time, s *server, seconds float64) {
	o := &s.load
	o.recordShortest(now, seconds)
	if now.Sub(o.latest.At) >= loadMaxAge {
		return
	}
	rounds := max(1, float64(o.latest.Running+o.latest.Waiting)/float64(o.latest.Slots))
	pace := o.latest.Pace / 100
	work := max(0, seconds-s.zone.roundTrip) / (pace * rounds)
	if o.work == 0 {
		o.work = work
	}
	if work > o.work {
		o.work += longerWorkWeight * (work - o.work)
	} else {
		o.work += workWeight * (work - o.work)
	}
	if p.work == 0 {
		p.work = o.work
	}
	if now.Sub(o.excessAt) >= unitTimeMaxAge {
		o.excess = 1
	}
	o.excess += excessWeight * (min(maxExcess, seconds/(s.zone.roundTrip+rounds*p.work*pace)) - o.excess)
	o.excessAt = now
}

// shortestWindow is the period over which the shortest time to answer is kept.
const shortestWindow = 10 * time.Second

func (o *statedLoad) recordShortest(now time.Time, seconds float64) {
	if now.Sub(o.windowAt) >= shortestWindow {
		o.shortest, o.windowAt = [2]float64{0, o.shortest[0]}, now
	}
	if o.shortest[0] == 0 || seconds < o.shortest[0] {
		o.shortest[0] = seconds
	}
}

// refresh computes the usual time of work: the lower median of the servers' averages, so
// that one server that states a wrong pace does not decide it. It also updates the zones.
func (p *Pool) refresh(now time.Time) {
	if now.Sub(p.refreshedAt) < refreshInterval {
		return
	}
	p.refreshedAt = now
	times := p.times[:0]
	for _, s := range p.servers {
		if s.load.work > 0 {
			times = append(times, s.load.work)
		}
	}
	if len(times) > 0 {
		slices.Sort(times)
		p.work = times[(len(times)-1)/2]
	}
	p.times = times
	p.measureRoundTrips()
}

// pacePenalty returns the penalty of a server whose work takes longer than usual now.
func (s *server) pacePenalty(now time.Time) float64 {
	age := now.Sub(s.load.latest.At)
	if s.load.latest.At.IsZero() || age >= paceMaxAge {
		return 0
	}
	return min(maxPacePenalty, worth(age, paceMaxAge)*paceWeight*max(0, s.load.latest.Pace/100-1))
}

// minDistrust is the excess factor from which a server's figures count as wrong.
const minDistrust = 1.5

// Distrusted returns the servers whose requests take longer than their figures explain.
func (p *Pool) Distrusted(now time.Time) []rollout.ServerName {
	var names []rollout.ServerName
	for _, s := range p.servers {
		if s.load.excessFactor(now) >= minDistrust {
			names = append(names, s.declared.Name)
		}
	}
	return names
}
