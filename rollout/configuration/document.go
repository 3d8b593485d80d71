package configuration

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"

	"lagoonlink.org/rollout"
)

// Decode parses a configuration from YAML and validates it. Unknown fields,
// duplicate fields and wrong types are rejected with an error that gives the
// line.
func Decode(document []byte) (rollout.Configuration, error) {
	var c rollout.Configuration
	if len(document) > MaxRecordBytes {
		return c, fmt.Errorf("configuration: got %d bytes, expected at most %d", len(document), MaxRecordBytes)
	}
	if len(bytes.TrimSpace(document)) == 0 {
		return c, fmt.Errorf("configuration: the document is empty")
	}
	if err := checkDepth(document); err != nil {
		return c, err
	}
	if err := yaml.UnmarshalWithOptions(document, &c, yaml.Strict()); err != nil {
		return rollout.Configuration{}, rollout.Wrapf(err, "read the configuration")
	}
	if err := c.Check(); err != nil {
		return rollout.Configuration{}, rollout.Wrapf(err, "check the configuration")
	}
	return c, nil
}

// maxNestingDepth limits the nesting of a document. A valid configuration stays
// far below it.
const maxNestingDepth = 32

// checkDepth rejects a document that is nested too deeply, before the parser
// recurses into it. Only malicious documents exceed the limit.
func checkDepth(document []byte) error {
	depth := 0
	for _, b := range document {
		switch b {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		}
		if depth > maxNestingDepth {
			return fmt.Errorf("configuration: nested more than %d deep", maxNestingDepth)
		}
	}
	for _, line := range bytes.Split(document, []byte("\n")) {
		if dashes := bytes.Count(line[:len(line)-len(bytes.TrimLeft(line, "- "))], []byte("-")); dashes > maxNestingDepth {
			return fmt.Errorf("configuration: nested more than %d deep", maxNestingDepth)
		}
	}
	return nil
}

// Encode returns a configuration as YAML with its fields in declared order.
func Encode(c rollout.Configuration) ([]byte, error) {
	data, err := yaml.MarshalWithOptions(c, yaml.IndentSequence(true))
	return data, rollout.Wrapf(err, "encode the configuration")
}

// Danger is a dangerous change, which an operator must accept by name.
type Danger struct {
	Name   string
	Detail string
}

// maxWidenFactor is the largest factor by which a staleness bound may grow without
// being accepted.
const maxWidenFactor = 2

// Dangers returns the dangerous changes from one configuration to the next.
func Dangers(old, next rollout.Configuration) []Danger {
	var out []Danger
	for _, p := range old.Pools {
		n, _ := next.FindPool(p.Name)
		out = append(out, serverDangers("pool", string(p.Name), p.Servers, n.Servers)...)
	}
	for _, s := range old.Services {
		n, _ := next.FindService(s.Name)
		out = append(out, serverDangers("service", string(s.Name), s.Servers, n.Servers)...)
	}
	for _, t := range old.Trainers {
		n, ok := next.FindTrainer(t.Name)
		if !ok {
			out = append(out, Danger{"trainer-removed/" + string(t.Name), "its open steps are refused"})
			continue
		}
		if n.MaxVersionsBehind > max(1, t.MaxVersionsBehind)*maxWidenFactor {
			detail := fmt.Sprintf("from %d to %d versions", t.MaxVersionsBehind, n.MaxVersionsBehind)
			out = append(out, Danger{"bound-widened/" + string(t.Name), detail})
		}
	}
	return out
}

// serverDangers returns the dangers of a change to the backend servers of a pool
// or service: that none is left, or that a server is removed that was not declared
// Leaving before.
func serverDangers(kind, name string, old, next []rollout.Server) []Danger {
	if len(old) > 0 && len(next) == 0 {
		return []Danger{{"emptied/" + name, fmt.Sprintf("%s %s keeps no backend server", kind, name)}}
	}
	kept := map[rollout.ServerName]bool{}
	for _, s := range next {
		kept[s.Name] = true
	}
	var out []Danger
	for _, s := range old {
		if !kept[s.Name] && !s.Leaving {
			detail := fmt.Sprintf("%s %s still uses it: declare it Leaving first", kind, name)
			out = append(out, Danger{"server-removed/" + string(s.Name), detail})
		}
	}
	return out
}
