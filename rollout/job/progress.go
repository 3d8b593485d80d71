package job

import (
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Constraints are the conditions under which a sample's text is generated.
type Constraints struct {
	// MinVersion is the oldest weight version that may generate any of the text.
	MinVersion rollout.WeightVersion
	// SingleVersion requires that one weight version generates the whole text.
	SingleVersion bool
	// MaxFailures is the number of failed attempts after which the sample is
	// abandoned.
	MaxFailures int
}

// Progress accumulates the text of a sample over all of its runs.
type Progress struct {
	constraints Constraints
	text        []byte
	pieces      int
	versions    []rollout.WeightVersion
	failures    int
	whole       bool
	// software is the software version of the servers that generated the text.
	software rollout.SoftwareVersion
}

// NewProgress returns a Progress without text.
func NewProgress(c Constraints) *Progress { return &Progress{constraints: c} }

// Constrain replaces the constraints, because another configuration came into force. It
// drops the text so far if that doesn't meet them, and reports whether it did.
func (p *Progress) Constrain(c Constraints) (dropped bool) {
	p.constraints = c
	if p.pieces == 0 || p.usable(p.versions) {
		return false
	}
	p.Discard()
	return true
}

// Failures returns the number of attempts that failed at a server.
func (p *Progress) Failures() int { return p.failures }

// Pieces returns the number of pieces of the text so far.
func (p *Progress) Pieces() int { return p.pieces }

// Text returns the text so far.
func (p *Progress) Text() []byte { return p.text }

// Whole reports whether the text is complete.
func (p *Progress) Whole() bool { return p.whole }

// Software returns the software version that a server must have to continue the text, or
// nil if any server may begin it.
func (p *Progress) Software() *rollout.SoftwareVersion {
	if p.pieces == 0 {
		return nil
	}
	v := p.software
	return &v
}

// StartRun records that a server of a software version runs the sample next. It returns
// false if that server must not continue the text.
func (p *Progress) StartRun(software rollout.SoftwareVersion) bool {
	// A version that isn't known is equal to none.
	if p.pieces > 0 && (software == "" || p.software != software) {
		return false
	}
	p.software = software
	return true
}

// maxTextBytes is the length of the longest text that is kept. One call to the store takes
// no more; a server that sends more is faulty and may never end.
const maxTextBytes = 2 << 20

// TooLong reports whether the text so far is longer than any text is.
func (p *Progress) TooLong() bool { return len(p.text) > maxTextBytes }

// Discard drops the text so far, so that any server may begin it again.
func (p *Progress) Discard() { p.text, p.pieces, p.versions, p.whole = nil, 0, nil, false }

// MarkWhole records that the text is complete.
func (p *Progress) MarkWhole() { p.whole = true }

// Versions returns the weight versions that generated the text, in ascending
// order.
func (p *Progress) Versions() []rollout.WeightVersion { return slices.Clone(p.versions) }

// Resume starts from the stored text of a fragment if it meets the constraints,
// and reports whether it does.
func (p *Progress) Resume(f Fragment, text []byte) bool {
	if !p.usable(f.Versions) || f.Pieces < 1 {
		return false
	}
	p.text, p.pieces, p.versions, p.whole = slices.Clone(text), f.Pieces, slices.Clone(f.Versions), f.Whole
	p.software = f.Software
	return true
}

// Fragment returns the record of the text so far; its location is not set.
func (p *Progress) Fragment(sample string, now time.Time) *Fragment {
	return &Fragment{Sample: sample, At: now, Pieces: p.pieces, Versions: p.Versions(), Whole: p.whole, Software: p.software}
}

func (p *Progress) usable(versions []rollout.WeightVersion) bool {
	if len(versions) == 0 || slices.Min(versions) < max(1, p.constraints.MinVersion) {
		return false
	}
	return !p.constraints.SingleVersion || len(versions) == 1
}

// PieceAction states what to do with a run after one of its pieces.
type PieceAction uint8

// Actions after a piece.
const (
	// Keep continues the run.
	Keep PieceAction = iota
	// Stale ends the run because the server's weight version is too old or
	// unknown. The piece is dropped and the earlier text is kept.
	Stale
	// Restart ends the run and drops the whole text, because the piece would mix
	// two versions in a text that must have one.
	Restart
)

// Add appends the next piece of a run to the text if it meets the constraints.
func (p *Progress) Add(piece rollout.Piece) PieceAction {
	if piece.Version < max(1, p.constraints.MinVersion) {
		return Stale
	}
	if !slices.Contains(p.versions, piece.Version) {
		if p.constraints.SingleVersion && len(p.versions) > 0 {
			p.Discard()
			return Restart
		}
		p.versions = append(p.versions, piece.Version)
		slices.Sort(p.versions)
	}
	if p.pieces > 0 {
		p.text = append(p.text, '\n')
	}
	p.text = append(p.text, piece.Text...)
	p.pieces++
	return Keep
}

// CountFailure counts an attempt that failed at the server, and reports whether
// the sample must be abandoned.
func (p *Progress) CountFailure() bool {
	p.failures++
	return p.failures >= max(1, p.constraints.MaxFailures)
}

// Constants for the detection of slow runs.
const (
	// fasterWeight and slowerWeight are the weights of a run in the moving
	// average, for a run faster or slower than the average. Faster runs weigh more
	// so that a few slow servers do not raise the average.
	fasterWeight = 0.2
	slowerWeight = 0.02
	// slowFactor is the ratio to the average time per piece above which a run is
	// moved to another server. Moving costs a second prefill of the prompt, which
	// takes a few milliseconds.
	slowFactor = 1.8
	// minIntervals is the number of pieces after the first that a run must have
	// produced before it can count as slow.
	minIntervals = 5
	// fasterFactor is the ratio to the average time per piece above which a run that
	// has produced longRunIntervals pieces after the first is worth moving to a free
	// server at the average pace.
	fasterFactor     = 1.15
	longRunIntervals = 16
	// fasterInterval is the number of pieces between two searches for such a server.
	fasterInterval = 12
)

// Meter measures the time per piece of a run. It starts at the first piece,
// because the time before it is spent in the engine's queue and on the prompt and
// does not reflect the generation speed.
type Meter struct {
	first, last time.Time
	pieces      int
}

// CountPiece counts a piece that arrived at the given time.
func (m *Meter) CountPiece(now time.Time) {
	if m.pieces == 0 {
		m.first = now
	}
	m.last = now
	m.pieces++
}

// intervals returns the number of pieces after the first and the time from the
// first piece to the last.
func (m *Meter) intervals() (int, time.Duration) { return max(0, m.pieces-1), m.last.Sub(m.first) }

// Pace is a moving average of the time per piece over the runs of a pool.
type Pace struct{ average time.Duration }

// Observe adds a run that has ended to the average.
func (p *Pace) Observe(m *Meter) {
	n, took := m.intervals()
	if n == 0 {
		return
	}
	perPiece := took / time.Duration(n)
	if p.average == 0 {
		p.average = perPiece
		return
	}
	weight := slowerWeight
	if perPiece < p.average {
		weight = fasterWeight
	}
	p.average += time.Duration(weight * float64(perPiece-p.average))
}

// Slow reports whether a run is so much slower than the average that it should
// continue on another server.
func (p *Pace) Slow(m *Meter) bool {
	n, took := m.intervals()
	return p.average > 0 && n >= minIntervals && float64(took) > slowFactor*float64(p.average)*float64(n)
}

// Faster reports whether a run should look for a faster server now, and the longest time
// per piece in seconds that such a server may have. Only long runs do: their step waits
// for them, while a short run ends before a move pays.
func (p *Pace) Faster(m *Meter) (maxSeconds float64, search bool) {
	n, took := m.intervals()
	if p.average <= 0 || n < longRunIntervals || (n-longRunIntervals)%fasterInterval != 0 {
		return 0, false
	}
	if took.Seconds() <= fasterFactor*p.average.Seconds()*float64(n) {
		return 0, false
	}
	return took.Seconds() / float64(n) / fasterFactor, true
}

// PerPiece returns the time per piece after the first, or 0 if the run had fewer than
// minIntervals of them.
func (m *Meter) PerPiece() time.Duration {
	n, took := m.intervals()
	if n < minIntervals {
		return 0
	}
	return took / time.Duration(n)
}

// StartOrder returns the indexes of the samples without a result, in the order in
// which they should start. The longest come first, because the trainer waits for
// the last sample to finish. A sample without an estimate counts as long as the
// mean of the estimates. A sample with a fragment counts as at least MaxTokens
// long.
func StartOrder(s *Submission, hasResult func(index int) bool, fragment func(sample string) (pieces int, exists bool)) []int {
	var out []int
	lengths := make([]int, len(s.Samples))
	mean := meanLength(s)
	for i := range s.Samples {
		if hasResult(i) {
			continue
		}
		lengths[i] = s.Samples[i].Length
		if lengths[i] == 0 {
			lengths[i] = mean
		}
		if _, exists := fragment(s.Samples[i].ID); exists {
			// An interrupted sample is likely to be a long one.
			lengths[i] = max(lengths[i], s.Samples[i].MaxTokens)
		}
		out = append(out, i)
	}
	slices.SortStableFunc(out, func(a, b int) int { return lengths[b] - lengths[a] })
	return out
}

// meanLength returns the mean of the samples' length estimates, or 0 if there are
// none.
func meanLength(s *Submission) int {
	sum, known := 0, 0
	for i := range s.Samples {
		if n := s.Samples[i].Length; n > 0 {
			sum += n
			known++
		}
	}
	return sum / max(1, known)
}
