// Package configuration determines which of the configurations published by
// operators is in force. The order of records in the platform's log is
// authoritative: the first publication whose base is the current version is
// accepted, and every VM that folds the same records has the same state.
//
// The log retains records for a limited time, so VMs append snapshots. A snapshot
// states the offset up to which its state was folded. A VM that starts uses a
// snapshot only if the log still contains every later record, and folds those
// itself. A VM that already has a state ignores snapshots.
//
// The package performs no I/O. Invariants: the version never decreases; the state
// at an offset is a function of the records before that offset; a record of an
// unknown schema stops the fold, which keeps the state that it has.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// RecordSchema is the schema version of the records that this program supports.
const RecordSchema = 1

// Size limits of records and of the state.
const (
	MaxRecordBytes  = 1 << 20
	maxOutcomes     = 64
	maxAcceptNames  = 64
	maxAuthorLength = 256
	maxIDLength     = 64
)

// Publication is an operator's request to replace the configuration.
type Publication struct {
	// ID is unique; a publication that is appended twice is applied once.
	ID string
	// Base is the version that the change is based on.
	Base   rollout.ConfigurationVersion
	Author string
	// Accept names the dangerous changes that the operator accepts.
	Accept []string
	// Document is the configuration as YAML.
	Document []byte
	// Signature is a signature of SigningBytes; it is empty when the deployment
	// does not require one.
	Signature []byte
}

// Check returns an error for the first invalid field of the publication. It does
// not parse Document.
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

// SigningBytes returns the bytes that an operator's key signs: the encoding of the
// publication without its signature.
func (p Publication) SigningBytes() []byte {
	p.Signature = nil
	data, err := cbor.Marshal(p)
	if err != nil {
		return nil
	}
	return data
}

// Result states whether a publication was accepted and, if not, why.
type Result string

// The results of a publication. RefusedBase means that its base was not the
// current version, RefusedFaulty that it was invalid or not signed as required,
// RefusedDanger that it contained a dangerous change that was not accepted.
const (
	Accepted      Result = "Accepted"
	RefusedBase   Result = "RefusedBase"
	RefusedFaulty Result = "RefusedFaulty"
	RefusedDanger Result = "RefusedDanger"
)

// Outcome is the result of one publication, kept for its publisher and for the
// history of changes.
type Outcome struct {
	ID      string
	Offset  rollout.Offset
	Result  Result
	Version rollout.ConfigurationVersion
	Author  string
	Detail  string
}

// State is the result of folding the records of the log.
type State struct {
	Version rollout.ConfigurationVersion
	// Next is the offset of the first record that is not folded yet.
	Next rollout.Offset
	// Document is the YAML in force; Digest is its SHA-256 in hexadecimal.
	Document []byte
	Digest   string
	// Outcomes are those of the latest publications, oldest first.
	Outcomes []Outcome
}

// Check validates a state received from a snapshot or a peer and returns an error
// for the first invalid field.
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

// Outcome returns the outcome of the publication with the given ID, if it is still
// known.
func (s *State) Outcome(id string) (Outcome, bool) {
	for _, o := range s.Outcomes {
		if o.ID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// Record is the content of a record of the configuration stream. Exactly one of
// Publication and Snapshot is set.
type Record struct {
	Schema      int
	Publication *Publication `cbor:",omitempty"`
	Snapshot    *State       `cbor:",omitempty"`
}

// Fold computes the State from the records of the configuration stream. It is not
// safe for concurrent use.
type Fold struct {
	state State
	// initialized reports whether the next records can be applied to state.
	initialized bool
	// pending holds the records read before a state to start from was found.
	pending []rollout.Record
	// pendingFirst is the oldest offset that the log had retained when the first
	// pending record was read.
	pendingFirst rollout.Offset
	// blockedAt is the offset of the record that stopped the fold.
	blockedAt rollout.Offset
	stopped   bool
	checks    Checks
	// recoveryOffset is the offset of the newest accepted publication or snapshot.
	recoveryOffset rollout.Offset
}

// Checks holds the checks of a publication that depend on the deployment.
type Checks struct {
	// VerifySignature returns an error unless the publication carries a valid
	// signature. If it is nil, no signature is required.
	VerifySignature func(Publication) error
}

// NewFold returns a Fold that has not read any records.
func NewFold(c Checks) *Fold { return &Fold{checks: c} }

// State returns the state, and whether the fold is initialized. After the log
// dropped records that were not read, it returns the old state and false until
// there is a new state to start from.
func (f *Fold) State() (State, bool) { return f.state, f.initialized }

// Next returns the offset from which to read the log next.
func (f *Fold) Next() rollout.Offset {
	if n := len(f.pending); n > 0 && !f.initialized {
		return f.pending[n-1].Offset + 1
	}
	return f.state.Next
}

// RecoveryOffset returns the offset of the newest accepted publication or snapshot,
// whichever is later. The time of the next snapshot is counted from it.
func (f *Fold) RecoveryOffset() rollout.Offset { return f.recoveryOffset }

// Blocked returns the offset of the record of an unknown schema that stopped the
// fold, and whether there is one.
func (f *Fold) Blocked() (rollout.Offset, bool) { return f.blockedAt, f.stopped }

// Adopt replaces the state by that of a peer if the peer is ahead, and reports
// whether it did.
func (f *Fold) Adopt(s State) bool {
	if s.Version < f.state.Version || (f.initialized && s.Next <= f.state.Next) {
		return false
	}
	f.state, f.initialized, f.pending = s, true, nil
	f.stopped = false
	return true
}

// Apply folds the records of a read result. Its First must be the oldest offset
// that the log still retains.
func (f *Fold) Apply(r rollout.ReadResult) {
	if !f.initialized && r.First == 0 && len(f.pending) == 0 {
		f.initialized = true
	}
	if f.initialized && r.First > f.state.Next {
		// The log dropped records that this VM has not read. Start again from a
		// snapshot; until one is read, the old state stays in force.
		f.reset()
	}
	if !f.initialized && r.First > f.Next() {
		// Records are missing between the pending ones and those that follow.
		f.pending = nil
	}
	if len(f.pending) == 0 && !f.initialized {
		f.pendingFirst = r.First
	}
	for _, record := range r.Records {
		f.applyRecord(record)
	}
}

// reset makes the fold wait for a new state to start from. It keeps the current
// state, and no state with a lower version replaces it.
func (f *Fold) reset() {
	f.initialized = false
	f.pending = nil
}

// applyRecord folds one record, or buffers it until there is a state to start from.
func (f *Fold) applyRecord(record rollout.Record) {
	if f.stopped {
		return
	}
	if !f.initialized {
		f.buffer(record)
		return
	}
	if record.Offset < f.state.Next {
		return
	}
	r, err := DecodeRecord(record.Data)
	switch {
	case err != nil:
		f.state.Next = record.Offset + 1
	case r.Schema != RecordSchema:
		f.blockedAt, f.stopped = record.Offset, true
	case r.Publication != nil:
		f.applyPublication(record.Offset, *r.Publication)
	default:
		f.state.Next = record.Offset + 1
		f.recoveryOffset = max(f.recoveryOffset, record.Offset)
	}
}

// buffer keeps a record until a valid snapshot is read for which all later records
// are pending, and then folds the pending records.
func (f *Fold) buffer(record rollout.Record) {
	f.pending = append(f.pending, record)
	r, err := DecodeRecord(record.Data)
	if err != nil || r.Schema != RecordSchema || r.Snapshot == nil {
		return
	}
	s := *r.Snapshot
	if s.Next < f.pendingFirst || s.Next > record.Offset || s.Version < f.state.Version || s.Check() != nil {
		return
	}
	pending := f.pending
	f.state, f.initialized, f.pending = s, true, nil
	f.recoveryOffset = record.Offset
	for _, p := range pending {
		f.applyRecord(p)
	}
}

func (f *Fold) applyPublication(at rollout.Offset, p Publication) {
	f.state.Next = at + 1
	if _, repeated := f.state.Outcome(p.ID); repeated {
		return
	}
	o := Outcome{ID: p.ID, Offset: at, Author: p.Author}
	o.Result, o.Detail = f.evaluate(p)
	if o.Result == Accepted {
		f.state.Version++
		f.state.Document = p.Document
		f.state.Digest = digest(p.Document)
		f.recoveryOffset = at
	}
	o.Version = f.state.Version
	f.state.Outcomes = append(slices.Clone(f.state.Outcomes), o)
	if n := len(f.state.Outcomes); n > maxOutcomes {
		f.state.Outcomes = f.state.Outcomes[n-maxOutcomes:]
	}
}

func (f *Fold) evaluate(p Publication) (Result, string) {
	if p.Base != f.state.Version {
		return RefusedBase, fmt.Sprintf("based on version %d, but version %d was in force", p.Base, f.state.Version)
	}
	if err := p.Check(); err != nil {
		return RefusedFaulty, err.Error()
	}
	if f.checks.VerifySignature != nil {
		if err := f.checks.VerifySignature(p); err != nil {
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

// EncodeRecord returns the encoding of a record with Schema set to RecordSchema.
func EncodeRecord(r Record) ([]byte, error) {
	r.Schema = RecordSchema
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, rollout.Wrapf(err, "encode a configuration record")
	}
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("configuration record: got %d bytes, expected at most %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

var decMode = mustDecMode()

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

// DecodeRecord decodes a log record. For a record of an unsupported schema it
// returns a Record with only Schema set.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, fmt.Errorf("configuration record: got %d bytes, expected at most %d", len(data), MaxRecordBytes)
	}
	var envelope struct{ Schema int }
	if err := decMode.Unmarshal(data, &envelope); err != nil {
		return Record{}, rollout.Wrapf(err, "decode a configuration record")
	}
	if envelope.Schema != RecordSchema {
		return Record{Schema: envelope.Schema}, nil
	}
	var r Record
	if err := decMode.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Wrapf(err, "decode a configuration record")
	}
	if (r.Publication == nil) == (r.Snapshot == nil) {
		return Record{}, fmt.Errorf("configuration record: expected exactly one of Publication and Snapshot")
	}
	return r, nil
}

func digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}
