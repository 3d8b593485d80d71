// Package job keeps jobs: sets of samples that a trainer asks for at once and
// whose results stay readable for a while. Everything that must outlive an entry
// VM is a record of the partition that a job's id names; the fold of that
// partition gives every VM the same jobs with the same results at the same
// positions. The package is pure.
package job

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"lagoonlink.org/rollout"
)

// Schema is the schema of the records that this program writes and reads.
const Schema = 1

// Topics of the journal.
const (
	// TopicIndex holds submissions, the places of results, and ends.
	TopicIndex = "jobs"
	// TopicText holds the texts of results and of samples that were broken off.
	TopicText = "texts"
)

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
	Job string
	// Index is the sample's place in the submission.
	Index    int
	Outcome  Outcome
	Versions []rollout.WeightVersion
	Text     Place
}

// Fragment is the text of a sample that was broken off, which a later run of
// the same sample may go on from.
type Fragment struct {
	Sample   string
	Pieces   int
	Versions []rollout.WeightVersion
	Text     Place
}

// End tells that a trainer ended a job.
type End struct{ Job string }

// Record is one record of the index. Exactly one part is set. A submission that
// is larger than a record is split: every part but the last is a Chunk.
type Record struct {
	Schema     int
	Submission *Submission `cbor:",omitempty"`
	Chunk      *Chunk      `cbor:",omitempty"`
	Result     *Result     `cbor:",omitempty"`
	Fragment   *Fragment   `cbor:",omitempty"`
	End        *End        `cbor:",omitempty"`
}

// Chunk is a part of an encoded submission. The parts of one submission follow
// one another in the partition, for they are appended together.
type Chunk struct {
	Job  string
	Part int
	Last bool
	Data []byte
}

// chunkSlack is what a chunk's own fields need beside its data.
const chunkSlack = 512

// encoding keeps times to the nanosecond; the default cuts them to the second.
func encoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return mode
}

// Encode returns the records of the index for a record.
func Encode(r Record, recordBytes int) ([][]byte, error) {
	r.Schema = Schema
	data, err := encoding().Marshal(r)
	if err != nil {
		return nil, rollout.Tried(err, "encode a record")
	}
	if len(data) <= recordBytes {
		return [][]byte{data}, nil
	}
	if r.Submission == nil {
		return nil, fmt.Errorf("record: got %d bytes, expected at most %d", len(data), recordBytes)
	}
	var out [][]byte
	for part := 0; len(data) > 0; part++ {
		n := min(len(data), recordBytes-chunkSlack)
		c := Chunk{Job: r.Submission.ID, Part: part, Last: n == len(data), Data: data[:n]}
		encoded, err := encoding().Marshal(Record{Schema: Schema, Chunk: &c})
		if err != nil {
			return nil, rollout.Tried(err, "encode a part of a record")
		}
		out, data = append(out, encoded), data[n:]
	}
	return out, nil
}

// Decode reads and checks a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Tried(err, "decode a record")
	}
	if r.Schema != Schema {
		return Record{}, fmt.Errorf("record: got schema %d, expected %d", r.Schema, Schema)
	}
	parts := 0
	for _, set := range []bool{r.Submission != nil, r.Chunk != nil, r.Result != nil, r.Fragment != nil, r.End != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return Record{}, fmt.Errorf("record: got %d parts, expected 1", parts)
	}
	return r, nil
}
