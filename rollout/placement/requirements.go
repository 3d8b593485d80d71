package placement

import (
	"slices"
	"time"

	"lagoonlink.org/rollout"
)

// Requirements are what a request requires of its server.
type Requirements struct {
	Class rollout.Class
	Model rollout.ModelName
	// MinVersion is the oldest weight version that may serve the request; 0
	// allows any.
	MinVersion rollout.WeightVersion
	// Prefix is a hash of the prompt prefix; 0 means none.
	Prefix uint64
	// Avoid lists servers that must not serve the request.
	Avoid []rollout.ServerName
	// Software requires a server of that software version; nil allows any.
	Software *rollout.SoftwareVersion
	// MaxUnitTime requires a server that recently took at most this time in seconds
	// per unit; 0 allows any.
	MaxUnitTime float64
	// Bytes is the size of the request's body.
	Bytes int
}

// Restricted reports whether the request may use only some of the servers.
func (r Requirements) Restricted() bool { return r.Software != nil || len(r.Avoid) > 0 }

// suits reports whether a server may ever take a request, regardless of its load.
func (s *server) suits(now time.Time, r Requirements) bool {
	// A version that isn't known is equal to none.
	if r.Software != nil && (*r.Software == "" || *r.Software != s.declared.Software) {
		return false
	}
	return !s.isLeaving(now) && !slices.Contains(r.Avoid, s.declared.Name)
}

// isTooSlow reports whether a server isn't known to be as fast as a request requires.
func (s *server) isTooSlow(now time.Time, r Requirements) bool {
	return r.MaxUnitTime > 0 && (s.unitTime == 0 || s.unitTime > r.MaxUnitTime || now.Sub(s.unitTimeAt) >= unitTimeMaxAge)
}

// hasWeights reports whether a server has the weights for a request, as far as that is known.
func (s *server) hasWeights(r Requirements) bool {
	return r.MinVersion == 0 || s.report.Loaded == nil || s.report.Loaded[r.Model] >= r.MinVersion
}

// hasOlderWeights reports whether a server is known to have weights that are too old for
// the request. A model that its report omits is unknown or being loaded.
func (s *server) hasOlderWeights(r Requirements) bool {
	v, known := s.report.Loaded[r.Model]
	return known && v < r.MinVersion
}
