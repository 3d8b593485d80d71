// Package job holds the state of jobs. A job is a set of samples that a trainer
// requests together and whose results stay readable for a retention period.
// Everything that must survive the loss of an entry VM is a record in the journal
// partition that the job's ID hashes to. Every VM that folds the partition gets
// the same jobs, with the same results at the same positions. The package is
// pure: it does no I/O and reads no clock.
package job

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
)

// Schema is the schema version of the index records that this program writes
// and accepts.
const Schema = 2

// Journal topics.
const (
	// TopicIndex holds acceptances, the locations of results and fragments, and
	// ends of jobs. The records are small because any VM may have to read them.
	TopicIndex = "jobs"
	// TopicSubmission holds the submissions, which are read only by the VM that
	// runs a job's samples and to answer reads of sample bodies.
	TopicSubmission = "submissions"
	// TopicText holds the texts of results and of interrupted samples.
	TopicText = "texts"
)

// maxSamples bounds the number of samples of one job. It is about sixty times
// the largest step at the scale that the service is designed for.
const maxSamples = 1 << 16

// PartitionOf returns the number of the partition that holds all records of the
// job with the given ID.
func PartitionOf(id string, partitions int) int {
	return int(xxh3.HashString(id) % uint64(max(1, partitions)))
}

// Sample is one requested sample of a job.
type Sample struct {
	ID string
	// Group identifies the samples that share a prompt.
	Group string
	// Path, Header and Body are forwarded to the engine unchanged.
	Path   string
	Header []rollout.HeaderField
	Body   []byte
	// Length is the caller's estimate of the length of the text, in pieces or
	// tokens; 0 if it gave none.
	Length int
	// MaxTokens bounds the total number of tokens of the prompt and the answer.
	MaxTokens int
	// Scorer is the request that scores the text once it is complete, or nil if the
	// sample has no score.
	Scorer *Scorer `cbor:",omitempty"`
}

// Memory of a sample until its job is stored.
const (
	// sampleBytes is the memory of a sample or of a header field besides its texts.
	sampleBytes = 512
	// textCopies is the number of copies of its texts: decoded, encoded into a growing buffer,
	// and in the call to the store.
	textCopies = 5
)

// MemoryBytes returns the memory that the sample takes until its job is stored.
func (s *Sample) MemoryBytes() int {
	n := sampleBytes + textCopies*(len(s.ID)+len(s.Path)+len(s.Body))
	for _, f := range s.Header {
		n += sampleBytes + textCopies*(len(f.Name)+len(f.Value))
	}
	if s.Scorer != nil {
		n += sampleBytes + textCopies*len(s.Scorer.Body)
	}
	return n
}

// Scorer is the request to a plain service that scores the text of a sample. It is
// sent through the route of its host and path and may run more than once.
type Scorer struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Submission is a job as the trainer submitted it.
type Submission struct {
	ID         string
	Host       string
	Step       uint64
	Model      rollout.ModelName
	MinVersion rollout.WeightVersion
	// Wanted is the number of complete groups that the trainer waits for.
	Wanted  int
	Samples []Sample
	// At is the time at which an entry VM accepted the job, by that VM's wall clock.
	At time.Time
	// Deadline and Retention are the settings of the route at that time.
	Deadline  time.Duration
	Retention time.Duration
	// Tenant is the name of the tenant that the job belongs to. A job without a tenant can
	// be used by anybody.
	Tenant string `cbor:",omitempty"`
}

// Accepted records that a submission was accepted. A submission without an
// Accepted record has no effect.
type Accepted struct {
	ID         string
	Host       string
	Model      rollout.ModelName
	MinVersion rollout.WeightVersion
	// Total is the number of samples of the job.
	Total int
	// At is the time of acceptance, copied from the submission.
	At time.Time
	// Submission is the location of the encoded submission in the journal.
	Submission Location
	// Tenant is the name of the tenant that the job belongs to, copied from the submission.
	Tenant string `cbor:",omitempty"`
	// Deadline is the time after acceptance by which the results are due, copied from the
	// submission, or 0 if it isn't known.
	Deadline time.Duration `cbor:",omitempty"`
}

// Accept returns the acceptance record of a submission that is stored at the
// given location.
func (s *Submission) Accept(location Location) *Accepted {
	return &Accepted{
		ID: s.ID, Host: s.Host, Model: s.Model, MinVersion: s.MinVersion, Total: len(s.Samples), At: s.At, Submission: location, Deadline: s.Deadline, Tenant: s.Tenant,
	}
}

// Outcome states how a sample ended.
type Outcome uint8

// Sample outcomes.
const (
	// Done means that the text is complete.
	Done Outcome = iota
	// Abandoned means that the sample was abandoned, for example because its
	// retention period ended or too many attempts failed.
	Abandoned
)

// Location is the location of a text or a submission in the journal.
type Location struct {
	Partition int
	Offset    rollout.Offset
	Bytes     int
	// Records is the number of consecutive records that hold the data.
	Records int
}

// Result records the outcome of one sample and the location of its text.
type Result struct {
	Job    string
	Sample string
	// Index is the sample's index in the submission.
	Index    int
	Outcome  Outcome
	Versions []rollout.WeightVersion
	Text     Location
	// Score is the score of the text, or empty if the sample has no scorer.
	Score string `cbor:",omitempty"`
}

// Fragment records the partial text of an interrupted sample, or the complete text of
// a sample that has no score yet. A later run of the same sample may continue from
// there.
type Fragment struct {
	Sample string
	// At is the time at which the fragment was stored, by the writer's wall clock.
	At       time.Time
	Pieces   int
	Versions []rollout.WeightVersion
	Text     Location
	// Whole reports whether the text is complete.
	Whole bool `cbor:",omitempty"`
	// Software is the software version of the servers that generated the text.
	Software rollout.SoftwareVersion `cbor:",omitempty"`
	// Tenant is the name of the tenant that the sample's job belongs to.
	Tenant string `cbor:",omitempty"`
}

// Extends reports whether a run gains more from f than from another fragment of the
// same sample.
func (f Fragment) Extends(other Fragment) bool {
	if f.Whole != other.Whole {
		return f.Whole
	}
	return f.Pieces > other.Pieces
}

// End records that a trainer ended a job.
type End struct{ Job string }

// Record is one record of the index. Exactly one of its pointers is set.
type Record struct {
	Schema   int
	Accepted *Accepted `cbor:",omitempty"`
	Result   *Result   `cbor:",omitempty"`
	Fragment *Fragment `cbor:",omitempty"`
	End      *End      `cbor:",omitempty"`
}

// encMode returns a CBOR mode that encodes times with nanosecond precision; the
// default truncates them to seconds.
func encMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// Unreachable: the options are constant and valid.
		panic(err)
	}
	return mode
}

// Encode encodes an index record with the current schema version.
func Encode(r Record) ([]byte, error) {
	r.Schema = Schema
	data, err := encMode().Marshal(r)
	return data, rollout.Wrapf(err, "encode job record")
}

// Decode decodes and validates an index record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Wrapf(err, "decode job record")
	}
	if r.Schema != Schema {
		return Record{}, fmt.Errorf("job record: got schema %d, expected %d", r.Schema, Schema)
	}
	parts := 0
	for _, set := range []bool{r.Accepted != nil, r.Result != nil, r.Fragment != nil, r.End != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return Record{}, fmt.Errorf("job record: got %d parts, expected 1", parts)
	}
	if a := r.Accepted; a != nil && (a.Total < 1 || a.Total > maxSamples) {
		return Record{}, fmt.Errorf("job record: got %d samples, expected 1 to %d", a.Total, maxSamples)
	}
	return r, nil
}

// submissionCopies is the number of copies of a stored submission while it is read: as
// records, joined, and decoded.
const submissionCopies = 3

// runningSampleBytes is the memory of a sample that waits for a server or runs on one: a
// goroutine, a queued request and the text so far.
const runningSampleBytes = 12 << 10

// RunBytes returns the memory that it takes to run the job's samples.
func (a *Accepted) RunBytes() int {
	return a.Submission.Bytes + runningSampleBytes*a.Total
}

// MemoryBytes returns the memory that it takes to read and decode the submission.
func (a *Accepted) MemoryBytes() int {
	return submissionCopies*a.Submission.Bytes + sampleBytes*a.Total
}

// EncodeSubmission encodes a submission.
func EncodeSubmission(s *Submission) ([]byte, error) {
	data, err := encMode().Marshal(s)
	return data, rollout.Wrapf(err, "encode submission %s", s.ID)
}

// DecodeSubmission decodes a submission and checks that its ID and number of
// samples match the acceptance.
func DecodeSubmission(data []byte, a *Accepted) (*Submission, error) {
	var s Submission
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, rollout.Wrapf(err, "decode submission %s", a.ID)
	}
	if s.ID != a.ID || len(s.Samples) != a.Total {
		return nil, fmt.Errorf("submission %s: got job %s with %d samples, expected %d", a.ID, s.ID, len(s.Samples), a.Total)
	}
	return &s, nil
}

// Split splits data into consecutive records of at most recordBytes bytes.
func Split(data []byte, recordBytes int) [][]byte {
	return slices.Collect(slices.Chunk(data, recordBytes))
}
