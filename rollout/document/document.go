// Package document reads single fields of JSON documents without decoding the rest.
package document

import (
	"bytes"
	"encoding/json"
)

// Integer returns a field of the top-level object of a document. It reads no further than
// that, and returns false if there is no such field or if it is no integer of at least 0.
func Integer(document []byte, field string) (uint64, bool) {
	d := json.NewDecoder(bytes.NewReader(document))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return 0, false
	}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return 0, false
		}
		if name == field {
			var n uint64
			return n, d.Decode(&n) == nil
		}
		var skipped json.RawMessage
		if d.Decode(&skipped) != nil {
			return 0, false
		}
	}
	return 0, false
}
