// Package duty decides which VM may make singleton calls to the platform: calls that two
// VMs must not make at the same time. The right to make them is held by records of the
// journal. A record is only appended at the end that its writer has read, so a VM can't
// claim, renew or fix a report without knowing of every earlier record.
package duty

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"lagoonlink.org/rollout"
)

// Topic is the journal topic of the records. Only one of its partitions is used.
const Topic = "duties"

// schema is the schema version that this program writes and accepts.
const schema = 1

// Process identifies one run of a VM's process. A process that was started again must not
// take the claims of the earlier one for its own.
type Process struct {
	VM          rollout.VMName
	Incarnation string
}

// Record is one record of the topic: a claim, a renewal or a fixed report. Each of them
// renews the hold of its writer.
type Record struct {
	Schema int
	Holder Process
	// Token is the fencing token under which the record was written; it is 0 in a claim,
	// whose token is one more than its offset.
	Token uint64 `cbor:",omitempty"`
	// Fixed is the highest window whose report is fixed. Earlier windows never get
	// another report.
	Fixed uint64
	// Reported is the highest window up to which all fixed reports were accepted or given
	// up.
	Reported uint64
	// UsageFrom is the offset of the topic of usage records from which the windows after
	// Fixed are counted.
	UsageFrom rollout.Offset
	// Report is the report of window Fixed, if this record fixes it.
	Report *rollout.UsageReport `cbor:",omitempty"`
}

// Encode encodes a record with the current schema version.
func Encode(r Record) ([]byte, error) {
	r.Schema = schema
	data, err := cbor.Marshal(r)
	return data, rollout.Wrapf(err, "encode duty record")
}

// Decode decodes and validates a record.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Record{}, rollout.Wrapf(err, "decode duty record")
	}
	if r.Schema != schema || r.Holder.VM == "" || r.Holder.Incarnation == "" {
		return Record{}, fmt.Errorf("duty record: got schema %d of holder %q, expected schema %d and a holder", r.Schema, r.Holder.VM, schema)
	}
	if r.Report != nil && r.Report.Window != r.Fixed {
		return Record{}, fmt.Errorf("duty record: got a report of window %d, expected window %d", r.Report.Window, r.Fixed)
	}
	return r, nil
}
