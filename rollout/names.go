package rollout

import (
	"fmt"
	"regexp"
)

// Names of entities declared in a configuration, and of entry VMs.
type (
	// Zone names an availability zone.
	Zone string
	// VMName names an entry VM.
	VMName string
	// ServerName names a backend server. It is unique within a configuration.
	ServerName string
	// SoftwareVersion is the version of a backend server's software, as opposed to that
	// of the weights that it serves. It is empty if the server states none.
	SoftwareVersion string
	// PoolName names a pool of model engines.
	PoolName string
	// ServiceName names a plain service.
	ServiceName string
	// TrainerName names a trainer.
	TrainerName string
	// CallerName names a caller. Queues and metrics use it as the tenant.
	CallerName string
	// ModelName names a model or adapter served by a pool.
	ModelName string
)

// WeightVersion is a version number of one model's weights. Trainers publish
// increasing numbers; 0 means unknown.
type WeightVersion uint64

// ConfigurationVersion is the number of an accepted configuration; 0 means none.
type ConfigurationVersion uint64

// Offset is the position of a record in a stream of the platform's log or in a
// journal partition.
type Offset uint64

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)

// CheckName returns an error that mentions field unless name is safe to use in
// paths, metrics and logs: at most MaxNameLength letters, digits, '.', '_' and
// '-', with a letter or digit at both ends.
func CheckName(field, name string) error {
	if len(name) > MaxNameLength || !namePattern.MatchString(name) {
		return fmt.Errorf("%s: got %q, expected 1 to %d letters, digits, '.', '_' or '-'", field, name, MaxNameLength)
	}
	return nil
}

// Class is a priority class. It separates latency-sensitive requests from bulk
// work.
type Class uint8

// Priority classes of requests, highest priority first.
const (
	// ClassService is a call of a plain service.
	ClassService Class = iota
	// ClassInteractive is a caller's request to a model engine.
	ClassInteractive
	// ClassRollout is a trainer's sample.
	ClassRollout
	// ClassScoring is a request to a plain service that scores a trainer's sample.
	// Nobody waits for its response directly.
	ClassScoring
)

// ClassCount is the number of classes.
const ClassCount = 4

// String returns the name of the class as used in metrics and status pages.
func (c Class) String() string {
	switch c {
	case ClassService:
		return "Service"
	case ClassInteractive:
		return "Interactive"
	case ClassRollout:
		return "Rollout"
	case ClassScoring:
		return "Scoring"
	}
	return fmt.Sprintf("Class(%d)", uint8(c))
}
