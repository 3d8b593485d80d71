package job

import (
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Terms are the conditions that a sample's text must meet.
type Terms struct {
	MinVersion rollout.WeightVersion
	// SingleVersion asks that one version generates all of it.
	SingleVersion bool
	// MaxFailures is after how many failed attempts the sample is given up.
	MaxFailures int
}

// Progress is the text of a sample so far, over all of its runs.
type Progress struct {
	terms    Terms
	text     []byte
	pieces   int
	versions []rollout.WeightVersion
	failures int
}

// NewProgress returns a sample without text.
func NewProgress(t Terms) *Progress { return &Progress{terms: t} }

// Pieces returns how many pieces are there.
func (p *Progress) Pieces() int { return p.pieces }

// Text returns the text so far.
func (p *Progress) Text() []byte { return p.text }

// Versions returns the versions that generated the text, ascending.
func (p *Progress) Versions() []rollout.WeightVersion { return slices.Clone(p.versions) }

// Resume starts from a text that was kept, if it meets the terms.
func (p *Progress) Resume(f Fragment, text []byte) bool {
	if !p.usable(f.Versions) || f.Pieces < 1 {
		return false
	}
	p.text, p.pieces, p.versions = slices.Clone(text), f.Pieces, slices.Clone(f.Versions)
	return true
}

func (p *Progress) usable(versions []rollout.WeightVersion) bool {
	if len(versions) == 0 || slices.Min(versions) < max(1, p.terms.MinVersion) {
		return false
	}
	return !p.terms.SingleVersion || len(versions) == 1
}

// Verdict says what to do after a piece.
type Verdict uint8

// The verdicts on a piece.
const (
	// Keep goes on with the run.
	Keep Verdict = iota
	// Stale ends the run, for its server's version is too old; the text stays.
	Stale
	// Restart ends the run and drops the text, which would have two versions.
	Restart
)

// Add takes the next piece of a run.
func (p *Progress) Add(piece rollout.Piece) Verdict {
	if piece.Version < max(1, p.terms.MinVersion) {
		return Stale
	}
	if !slices.Contains(p.versions, piece.Version) {
		if p.terms.SingleVersion && len(p.versions) > 0 {
			p.text, p.pieces, p.versions = nil, 0, nil
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

// Failed takes an attempt that the server itself failed, and reports whether
// the sample is given up.
func (p *Progress) Failed() bool {
	p.failures++
	return p.failures >= max(1, p.terms.MaxFailures)
}

// Numbers of the pace.
const (
	// fasterWeight and slowerWeight make the typical pace follow the faster runs:
	// a few slow servers do not make slowness typical.
	fasterWeight = 0.2
	slowerWeight = 0.02
	// slowFactor is how many times slower than typical a run must be to be moved.
	// Moving costs reading the prompt again, a few milliseconds.
	slowFactor = 1.8
	// judgedPieces is how many pieces after the first a run is judged by.
	judgedPieces = 5
)

// Meter measures a run from its first piece on: before it the engine may queue the
// request and reads its prompt, which tells nothing of its pace.
type Meter struct {
	first, last time.Time
	pieces      int
}

// Piece counts a piece that came at a time.
func (m *Meter) Piece(now time.Time) {
	if m.pieces == 0 {
		m.first = now
	}
	m.last = now
	m.pieces++
}

// intervals returns how many pieces followed the first, and in which time.
func (m *Meter) intervals() (int, time.Duration) { return max(0, m.pieces-1), m.last.Sub(m.first) }

// Pace is the typical time for a piece, over the runs of a pool.
type Pace struct{ typical time.Duration }

// Observe takes a run that has ended.
func (p *Pace) Observe(m *Meter) {
	n, took := m.intervals()
	if n == 0 {
		return
	}
	perPiece := took / time.Duration(n)
	if p.typical == 0 {
		p.typical = perPiece
		return
	}
	weight := slowerWeight
	if perPiece < p.typical {
		weight = fasterWeight
	}
	p.typical += time.Duration(weight * float64(perPiece-p.typical))
}

// Slow reports whether a run should go on elsewhere.
func (p *Pace) Slow(m *Meter) bool {
	n, took := m.intervals()
	return p.typical > 0 && n >= judgedPieces && float64(took) > slowFactor*float64(p.typical)*float64(n)
}

// Order returns the indexes of the samples still to be made, in the order in
// which they should start: the longest first, for the trainer waits for the last
// of them; samples of broken-off runs count by what is left of them. Samples
// without an estimate count as typical.
func Order(s *Submission, listed func(index int) bool, left func(sample string) (pieces int, known bool)) []int {
	var out []int
	lengths := make([]int, len(s.Samples))
	typical := typicalLength(s)
	for i := range s.Samples {
		if listed(i) {
			continue
		}
		lengths[i] = s.Samples[i].Length
		if lengths[i] == 0 {
			lengths[i] = typical
		}
		if _, known := left(s.Samples[i].ID); known {
			// It was broken off because it was long.
			lengths[i] = max(lengths[i], s.Samples[i].MaxTokens)
		}
		out = append(out, i)
	}
	slices.SortStableFunc(out, func(a, b int) int { return lengths[b] - lengths[a] })
	return out
}

func typicalLength(s *Submission) int {
	sum, known := 0, 0
	for i := range s.Samples {
		if n := s.Samples[i].Length; n > 0 {
			sum += n
			known++
		}
	}
	return sum / max(1, known)
}
