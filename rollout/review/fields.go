package review

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Fields returns a warning for each field of a JSON document that is repeated or that
// decoding into the type t ignores. Names of ignored fields aren't printed directly within
// the type unnamed, where they may be misplaced secrets. The document must be valid JSON.
func Fields(document []byte, t, unnamed reflect.Type) []Finding {
	c := &fieldChecker{document: document, decoder: json.NewDecoder(bytes.NewReader(document)), unnamed: unnamed}
	// Numbers of any size may stand in ignored fields.
	c.decoder.UseNumber()
	c.value("", t)
	return c.findings
}

// Line returns the number of the line that contains the given offset in bytes.
func Line(document []byte, offset int64) int {
	return bytes.Count(document[:min(int(offset), len(document))], []byte("\n")) + 1
}

type fieldChecker struct {
	document []byte
	decoder  *json.Decoder
	unnamed  reflect.Type
	findings []Finding
}

func (c *fieldChecker) warn(field, message string) {
	line := Line(c.document, c.decoder.InputOffset())
	c.findings = append(c.findings, Finding{Warning, field, fmt.Sprintf("line %d: %s", line, message)})
}

// value reads one value, which is decoded into the type t, or ignored if t is nil.
func (c *fieldChecker) value(path string, t reflect.Type) {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch token, _ := c.decoder.Token(); token {
	case json.Delim('['):
		var element reflect.Type
		if t != nil && t.Kind() == reflect.Slice {
			element = t.Elem()
		}
		for i := 0; c.decoder.More(); i++ {
			c.value(fmt.Sprintf("%s[%d]", path, i), element)
		}
	case json.Delim('{'):
		c.object(path, t)
	default:
		return
	}
	// The closing delimiter.
	_, _ = c.decoder.Token()
}

func (c *fieldChecker) object(path string, t reflect.Type) {
	seen := map[string]bool{}
	for c.decoder.More() {
		token, _ := c.decoder.Token()
		name, _ := token.(string)
		field := strings.TrimPrefix(path+"."+printable(name), ".")
		if t == nil || t.Kind() != reflect.Struct {
			c.value(field, nil)
			continue
		}
		known, ok := findField(t, name)
		switch {
		case !ok && t == c.unnamed:
			c.warn(path, "unknown field, which a VM of this version ignores")
		case !ok:
			c.warn(field, "unknown field, which a VM of this version ignores")
		case seen[known.Name]:
			c.warn(field, "the field is repeated in its object")
		}
		seen[known.Name] = ok
		c.value(field, known.Type)
	}
}

// printable quotes a name that could disturb a terminal or a line of output.
func printable(name string) string {
	if quoted := strconv.Quote(name); quoted != `"`+name+`"` {
		return quoted
	}
	return name
}

// findField returns the field that a JSON name is decoded into. As in package json, case is
// ignored.
func findField(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); strings.EqualFold(f.Tag.Get("json"), name) {
			return f, true
		}
	}
	return reflect.StructField{}, false
}
