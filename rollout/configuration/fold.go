// Package configuration decides which of the configurations that operators
// publish is in force. The platform's log gives the only order there is: the
// first publication that names the current version as its base wins, and every
// VM that folds the same records has the same state.
//
// The log keeps records for a limited time, so VMs append snapshots. A snapshot
// names the offset that its state was folded up to; a VM that starts takes a
// snapshot only if the log still keeps every later record, and folds those
// itself. A VM that has a state ignores snapshots.
//
// The package is pure. Invariants: the version never decreases; the state at an
// offset is a function of the records up to that offset; a record of an unknown
// schema stops the fold, which goes on serving what it has.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// RecordSchema is the schema of records that this program folds.
const RecordSchema = 1

// Limits of records and of what the state remembers.
const (
	MaxRecordBytes  = 1 << 20
	maxOutcomes     = 64
	maxAcceptNames  = 64
	maxAuthorLength = 256
	maxIDLength     = 64
)

// Publication is an operator's wish to replace the configuration.
type Publication struct {
	// ID is unique; a publication that is appended twice counts once.
	ID string
	// Base is the version that the operator saw.
	Base   rollout.ConfigurationVersion
	Author string
	// Accept names the dangerous changes that the operator accepts.
	Accept []string
	// Document is the configuration as YAML.
	Document []byte
	// Signature is over SigningBytes; empty when the deployment asks for none.
	Signature []byte
}

// Check reports the first fault of the publication's envelope.
func (p *Publication) Check() error {
	switch {
	case p.ID == "" || len(p.ID) > maxIDLength:
		return fmt.Errorf("ID: got %d bytes, expected 1 to %d", len(p.ID), maxIDLength)
	case len(p.Author) > maxAuthorLength:
		return fmt.Errorf("Author: got %d bytes, expected at most %d", len(p.Author), maxAuthorLength)
	case len(p.Accept) > maxAcceptNames:
		return fmt.Errorf("Accept: got %d names, expected at most %d", len(p.Accept), maxAcceptNames)
	case len(p.Document) == 0 || len(p.Document) > MaxRecordBytes:
		return fmt.Errorf("Document: got %d bytes, expected 1 to %d", len(p.Document), MaxRecordBytes)
	}
	return nil
}

// SigningBytes returns what an operator's key signs.
func (p Publication) SigningBytes() []byte {
	p.Signature = nil
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil
	}
	return data
}

// Result says what became of a publication.
type Result string

// The results of a publication.
const (
	Accepted      Result = "Accepted"
	RefusedBase   Result = "RefusedBase"
	RefusedFaulty Result = "RefusedFaulty"
	RefusedDanger Result = "RefusedDanger"
)

// Outcome is the result of one publication, kept for its publisher and for the
// history.
type Outcome struct {
	ID      string
	Offset  rollout.Offset
	Result  Result
	Version rollout.ConfigurationVersion
	Author  string
	Detail  string
}

// State is what a VM has folded.
type State struct {
	Version rollout.ConfigurationVersion
	// Next is the offset of the first record not yet folded.
	Next rollout.Offset
	// Document is the YAML in force; Digest is its SHA-256 in hexadecimal.
	Document []byte
	Digest   string
	// Outcomes are the latest, oldest first.
	Outcomes []Outcome
}

// Check reports the first fault of a state that came from elsewhere.
func (s *State) Check() error {
	if s.Version == 0 {
		return nil
	}
	if digest(s.Document) != s.Digest {
		return fmt.Errorf("Digest: got %q, expected the SHA-256 of Document", s.Digest)
	}
	if len(s.Outcomes) > maxOutcomes {
		return fmt.Errorf("Outcomes: got %d, expected at most %d", len(s.Outcomes), maxOutcomes)
	}
	return nil
}

// Outcome returns what became of the publication with the given ID.
func (s *State) Outcome(id string) (Outcome, bool) {
	for _, o := range s.Outcomes {
		if o.ID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// Record is what a log record of the stream holds: one of the two.
type Record struct {
	Schema      int
	Publication *Publication `cbor:",omitempty"`
	Snapshot    *State       `cbor:",omitempty"`
}

// Fold is the state of one VM's reading of the stream.
type Fold struct {
	state    State
	anchored bool
	// waiting holds records read before a state was found to start from.
	waiting []rollout.Record
	first   rollout.Offset
	blocked rollout.Offset
	stopped bool
	checks  Checks
	// anchor is the offset of the newest record from which a VM could start.
	anchor rollout.Offset
}

// Checks are the checks of a publication that depend on the deployment.
type Checks struct {
	// Signed reports whether the publication carries a valid signature; nil
	// asks for none.
	Signed func(Publication) error
}

// NewFold returns a fold that has read nothing.
func NewFold(c Checks) *Fold { return &Fold{checks: c} }

// State returns the state, and whether the fold has one.
func (f *Fold) State() (State, bool) { return f.state, f.anchored }

// Next returns the offset to read from.
func (f *Fold) Next() rollout.Offset {
	if n := len(f.waiting); n > 0 && !f.anchored {
		return f.waiting[n-1].Offset + 1
	}
	return f.state.Next
}

// Anchor returns the offset of the newest record from which a VM that starts
// could take its state.
func (f *Fold) Anchor() rollout.Offset { return f.anchor }

// Blocked returns the offset of the record of an unknown schema that stopped
// the fold, if any.
func (f *Fold) Blocked() (rollout.Offset, bool) { return f.blocked, f.stopped }

// Adopt takes a state from a peer when it is ahead of this one, and reports
// whether it did.
func (f *Fold) Adopt(s State) bool {
	if s.Version < f.state.Version || (f.anchored && s.Next <= f.state.Next) {
		return false
	}
	f.state, f.anchored, f.waiting = s, true, nil
	f.stopped = false
	return true
}

// Read folds what a reader got from the log. First is the oldest offset that
// the log still keeps.
func (f *Fold) Read(r rollout.ReadResult) {
	if !f.anchored && r.First == 0 && len(f.waiting) == 0 {
		f.anchored = true
	}
	if f.anchored && r.First > f.state.Next {
		// The log dropped records that this VM has not read: start anew from a
		// snapshot, keeping the old state in force until there is one.
		f.lose()
	}
	if !f.anchored && r.First > f.Next() {
		// Records are missing between those that wait and the rest.
		f.waiting = nil
	}
	if len(f.waiting) == 0 && !f.anchored {
		f.first = r.First
	}
	for _, c := range r.Records {
		f.one(c)
	}
}

// lose forgets the anchor but not the version, below which nothing is taken.
func (f *Fold) lose() {
	f.anchored = false
	f.waiting = nil
}

func (f *Fold) one(c rollout.Record) {
	if f.stopped {
		return
	}
	if !f.anchored {
		f.wait(c)
		return
	}
	if c.Offset < f.state.Next {
		return
	}
	r, err := DecodeRecord(c.Data)
	switch {
	case err != nil:
		f.state.Next = c.Offset + 1
	case r.Schema != RecordSchema:
		f.blocked, f.stopped = c.Offset, true
	case r.Publication != nil:
		f.publication(c.Offset, *r.Publication)
	default:
		f.state.Next = c.Offset + 1
		f.anchor = max(f.anchor, c.Offset)
	}
}

// wait keeps a record until a snapshot comes from which all later records are
// at hand.
func (f *Fold) wait(c rollout.Record) {
	f.waiting = append(f.waiting, c)
	r, err := DecodeRecord(c.Data)
	if err != nil || r.Schema != RecordSchema || r.Snapshot == nil {
		return
	}
	s := *r.Snapshot
	if s.Next < f.first || s.Next > c.Offset || s.Version < f.state.Version || s.Check() != nil {
		return
	}
	waiting := f.waiting
	f.state, f.anchored, f.waiting = s, true, nil
	f.anchor = c.Offset
	for _, w := range waiting {
		f.one(w)
	}
}

func (f *Fold) publication(at rollout.Offset, p Publication) {
	f.state.Next = at + 1
	if _, twice := f.state.Outcome(p.ID); twice {
		return
	}
	o := Outcome{ID: p.ID, Offset: at, Author: p.Author}
	o.Result, o.Detail = f.judge(p)
	if o.Result == Accepted {
		f.state.Version++
		f.state.Document = p.Document
		f.state.Digest = digest(p.Document)
		f.anchor = at
	}
	o.Version = f.state.Version
	f.state.Outcomes = append(slices.Clone(f.state.Outcomes), o)
	if n := len(f.state.Outcomes); n > maxOutcomes {
		f.state.Outcomes = f.state.Outcomes[n-maxOutcomes:]
	}
}

func (f *Fold) judge(p Publication) (Result, string) {
	if p.Base != f.state.Version {
		return RefusedBase, fmt.Sprintf("based on version %d, but version %d was in force", p.Base, f.state.Version)
	}
	if err := p.Check(); err != nil {
		return RefusedFaulty, err.Error()
	}
	if f.checks.Signed != nil {
		if err := f.checks.Signed(p); err != nil {
			return RefusedFaulty, err.Error()
		}
	}
	next, err := Decode(p.Document)
	if err != nil {
		return RefusedFaulty, err.Error()
	}
	for _, d := range f.dangers(next) {
		if !slices.Contains(p.Accept, d.Name) {
			return RefusedDanger, fmt.Sprintf("%s: %s", d.Name, d.Detail)
		}
	}
	return Accepted, ""
}

func (f *Fold) dangers(next rollout.Configuration) []Danger {
	if f.state.Version == 0 {
		return nil
	}
	old, err := Decode(f.state.Document)
	if err != nil {
		return nil
	}
	return Dangers(old, next)
}

// EncodeRecord returns the log record of a publication or a snapshot.
func EncodeRecord(r Record) ([]byte, error) {
	r.Schema = RecordSchema
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, rollout.Tried(err, "encode a configuration record")
	}
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("configuration record: got %d bytes, expected at most %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

var decoding = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 4096,
		MaxMapPairs:      256,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// DecodeRecord reads a log record. The schema is returned even when the rest is
// of a schema that this program does not know.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, fmt.Errorf("configuration record: got %d bytes, expected at most %d", len(data), MaxRecordBytes)
	}
	var envelope struct{ Schema int }
	if err := decoding.Unmarshal(data, &envelope); err != nil {
		return Record{}, rollout.Tried(err, "decode a configuration record")
	}
	if envelope.Schema != RecordSchema {
		return Record{Schema: envelope.Schema}, nil
	}
	var r Record
	if err := decoding.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Tried(err, "decode a configuration record")
	}
	if (r.Publication == nil) == (r.Snapshot == nil) {
		return Record{}, fmt.Errorf("configuration record: expected either Publication or Snapshot")
	}
	return r, nil
}

func digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}
