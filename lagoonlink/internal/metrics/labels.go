package metrics

import "sync"

const (
	// maxLabels limits the values of a label whose values operators choose.
	maxLabels = 64
	// otherLabel stands for all further values.
	otherLabel = "other"
)

// Labels bounds the values of a label: the first maxLabels names are their own values, and
// all others share one. It is safe for concurrent use. A nil Labels knows no name.
type Labels struct {
	mu    sync.Mutex
	known map[string]bool
}

// NewLabels returns a Labels without names.
func NewLabels() *Labels { return &Labels{known: map[string]bool{}} }

// Value returns the label value of a name.
func (l *Labels) Value(name string) string {
	if l == nil {
		return otherLabel
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[name] {
		if len(l.known) >= maxLabels {
			return otherLabel
		}
		l.known[name] = true
	}
	return name
}
