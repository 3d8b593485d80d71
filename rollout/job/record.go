// Package job keeps jobs: sets of samples that a trainer asks for at once and
// whose results stay readable for a while. Everything that must outlive an entry
// VM is a record of the partition that a job's id names; the fold of that
// partition gives every VM the same jobs with the same results at the same
// positions. The package is pure.
package job

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
)

// Schema is the schema of the records that this program writes and reads.
const Schema = 2

// Topics of the journal.
const (
	// TopicIndex holds what was accepted, the places of results, and ends: small
	// records that any VM may have to read.
	TopicIndex = "jobs"
	// TopicSubmission holds the submissions themselves, which only the VM that runs
	// a job's samples and reads of bodies need.
	TopicSubmission = "submissions"
	// TopicText holds the texts of results and of samples that were broken off.
	TopicText = "texts"
)

// maxSamples bounds the samples of one job: sixty times the largest step of the
// design size.
const maxSamples = 1 << 16

// PartitionOf returns the partition that holds everything of a job.
func PartitionOf(id string, partitions int) int {
	return int(xxh3.HashString(id) % uint64(max(1, partitions)))
}

// Sample is one sample that a job asks for.
type Sample struct {
	ID string
	// Group holds the samples of the same prompt.
	Group string
	// Path, Header and Body go to the engine as they are.
	Path   string
	Header []rollout.HeaderField
	Body   []byte
	// Length is the caller's estimate of the pieces or tokens to come; 0 when it gave none.
	Length int
	// MaxTokens bounds the prompt and the answer together.
	MaxTokens int
}

// Submission is a job as it was accepted.
type Submission struct {
	ID         string
	Host       string
	Step       uint64
	Model      rollout.ModelName
	MinVersion rollout.WeightVersion
	// Wanted is how many whole groups the trainer waits for.
	Wanted  int
	Samples []Sample
	// At is when an entry VM accepted it, by that VM's time of day.
	At time.Time
	// Deadline and Retention are the route's at that moment.
	Deadline  time.Duration
	Retention time.Duration
}

// Accepted tells that a submission was accepted. A submission whose Accepted was
// never written does not exist.
type Accepted struct {
	ID         string
	Host       string
	Model      rollout.ModelName
	MinVersion rollout.WeightVersion
	// Total is how many samples the job has.
	Total int
	// At is the submission's.
	At time.Time
	// Submission is where the submission lies.
	Submission Place
}

// Accept returns the acceptance of a submission that lies at a place.
func (s *Submission) Accept(at Place) *Accepted {
	return &Accepted{
		ID: s.ID, Host: s.Host, Model: s.Model, MinVersion: s.MinVersion, Total: len(s.Samples), At: s.At, Submission: at,
	}
}

// Outcome is how a sample ended.
type Outcome uint8

// The outcomes of a sample.
const (
	Done Outcome = iota
	GivenUp
)

// Place is where a text lies in the journal.
type Place struct {
	Partition int
	Offset    rollout.Offset
	Bytes     int
	// Records is how many records hold the text, one after another.
	Records int
}

// Result is the end of one sample.
type Result struct {
	Job    string
	Sample string
	// Index is the sample's place in the submission.
	Index    int
	Outcome  Outcome
	Versions []rollout.WeightVersion
	Text     Place
}

// Fragment is the text of a sample that was broken off, which a later run of
// the same sample may go on from.
type Fragment struct {
	Sample string
	// At is when it was kept, by its writer's time of day.
	At       time.Time
	Pieces   int
	Versions []rollout.WeightVersion
	Text     Place
}

// End tells that a trainer ended a job.
type End struct{ Job string }

// Record is one record of the index. Exactly one part is set.
type Record struct {
	Schema   int
	Accepted *Accepted `cbor:",omitempty"`
	Result   *Result   `cbor:",omitempty"`
	Fragment *Fragment `cbor:",omitempty"`
	End      *End      `cbor:",omitempty"`
}

// encoding keeps times to the nanosecond; the default cuts them to the second.
func encoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return mode
}

// Encode returns the bytes of a record of the index.
func Encode(r Record) ([]byte, error) {
	r.Schema = Schema
	data, err := encoding().Marshal(r)
	return data, rollout.Tried(err, "encode a record")
}

// Decode reads and checks a record of the index.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Tried(err, "decode a record")
	}
	if r.Schema != Schema {
		return Record{}, fmt.Errorf("record: got schema %d, expected %d", r.Schema, Schema)
	}
	parts := 0
	for _, set := range []bool{r.Accepted != nil, r.Result != nil, r.Fragment != nil, r.End != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return Record{}, fmt.Errorf("record: got %d parts, expected 1", parts)
	}
	if a := r.Accepted; a != nil && (a.Total < 1 || a.Total > maxSamples) {
		return Record{}, fmt.Errorf("record: got %d samples, expected 1 to %d", a.Total, maxSamples)
	}
	return r, nil
}

// EncodeSubmission returns the bytes of a submission.
func EncodeSubmission(s *Submission) ([]byte, error) {
	data, err := encoding().Marshal(s)
	return data, rollout.Tried(err, "encode submission %s", s.ID)
}

// DecodeSubmission reads a submission and checks that it is the accepted one.
func DecodeSubmission(data []byte, a *Accepted) (*Submission, error) {
	var s Submission
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, rollout.Tried(err, "decode submission %s", a.ID)
	}
	if s.ID != a.ID || len(s.Samples) != a.Total {
		return nil, fmt.Errorf("submission %s: got job %s with %d samples, expected %d", a.ID, s.ID, len(s.Samples), a.Total)
	}
	return &s, nil
}

// Split cuts bytes into records of at most a size.
func Split(data []byte, recordBytes int) [][]byte {
	return slices.Collect(slices.Chunk(data, recordBytes))
}
