package rollout

import (
	"fmt"
	"regexp"
)

// Names of the things that a configuration declares.
type (
	// Zone names an availability zone.
	Zone string
	// VMName names an entry VM.
	VMName string
	// ServerName names a backend server, unique within a configuration.
	ServerName string
	// PoolName names a pool of model engines.
	PoolName string
	// ServiceName names a plain service.
	ServiceName string
	// TrainerName names a trainer.
	TrainerName string
	// CallerName names a caller; it is also the tenant in queues and metrics.
	CallerName string
	// ModelName names a model or adapter that a pool serves.
	ModelName string
)

// WeightVersion numbers the weights of one model. Trainers publish increasing
// numbers; 0 means that no version is known.
type WeightVersion uint64

// ConfigurationVersion numbers accepted configurations; 0 means none.
type ConfigurationVersion uint64

// Offset is a record's position in a stream of the platform's log.
type Offset uint64

// MaxNameLength is the longest accepted name, in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// CheckName reports whether name, found in the named field, can be used in
// paths, metrics and logs: letters, digits, dot, dash and underscore.
func CheckName(field, name string) error {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		return fmt.Errorf("%s: got %q, expected 1 to %d letters, digits, '.', '_' or '-'", field, name, MaxNameLength)
	}
	return nil
}

// Class separates requests whose latency matters from bulk work.
type Class uint8

// The classes of requests, most urgent first.
const (
	// ClassService is a call of a plain service.
	ClassService Class = iota
	// ClassInteractive is a caller's request to a model engine.
	ClassInteractive
	// ClassRollout is a trainer's sample.
	ClassRollout
)

// String returns the class's name as used in metrics and status pages.
func (c Class) String() string {
	switch c {
	case ClassService:
		return "Service"
	case ClassInteractive:
		return "Interactive"
	case ClassRollout:
		return "Rollout"
	}
	return fmt.Sprintf("Class(%d)", uint8(c))
}
