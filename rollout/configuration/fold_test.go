package configuration_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/configuration"
)

func init() { assert.FixSeed() }

// document returns the YAML of a valid configuration with the given name, after the
// changes.
func document(name string, changes ...func(*rollout.Configuration)) []byte {
	c := rollout.Configuration{
		Schema: rollout.SchemaVersion, Name: name, Zones: []rollout.Zone{"Bole"},
		Pools: []rollout.Pool{{
			Name: "assistant", Models: []rollout.ModelName{"m"}, MaxConcurrency: 8,
			Servers: []rollout.Server{{Name: "a", Zone: "Bole", Address: "10.0.0.1:80"}, {Name: "b", Zone: "Bole", Address: "10.0.0.2:80"}},
		}},
		Trainers: []rollout.Trainer{{
			Name: "t", Pool: "assistant", Model: "m", Zone: "Bole", Share: 1, MaxVersionsBehind: 1, Objective: rollout.ObjectiveIdleTime,
			StepDeadline: 60e9, TokenHash: strings.Repeat("0", 64),
		}},
	}
	for _, change := range changes {
		change(&c)
	}
	data, err := configuration.Encode(c)
	if err != nil {
		panic(err)
	}
	return data
}

// journal is an in-memory fake of one stream of the log.
type journal struct {
	first   rollout.Offset
	records []rollout.Record
}

func (j *journal) append(r configuration.Record) rollout.Offset {
	data, err := configuration.EncodeRecord(r)
	if err != nil {
		panic(err)
	}
	at := j.first + rollout.Offset(len(j.records))
	j.records = append(j.records, rollout.Record{Offset: at, Data: data})
	return at
}

func (j *journal) publish(id string, base rollout.ConfigurationVersion, d []byte, accept ...string) {
	j.append(configuration.Record{Publication: &configuration.Publication{ID: id, Base: base, Author: "operator", Document: d, Accept: accept}})
}

// drop removes the oldest records, as retention does.
func (j *journal) drop(count int) {
	count = min(count, len(j.records))
	j.records = j.records[count:]
	j.first += rollout.Offset(count)
}

// read lets a fold read at most limit records.
func (j *journal) read(f *configuration.Fold, limit int) {
	next := j.first + rollout.Offset(len(j.records))
	r := rollout.ReadResult{First: j.first, Next: next}
	if from := max(f.Next(), j.first); from < next {
		rest := j.records[from-j.first:]
		r.Records = rest[:min(limit, len(rest))]
	}
	f.Apply(r)
}

// folded returns the state of a new fold that has read all records.
func folded(t *testing.T, j *journal) configuration.State {
	t.Helper()
	f := configuration.NewFold(configuration.Checks{})
	j.read(f, 1000)
	s, ok := f.State()
	assert.True(t, "the fold has a state", ok)
	return s
}

func TestPublications(t *testing.T) {
	t.Run("the first publication in the log is accepted", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		j.publish("two", 0, document("two"))
		s := folded(t, j)
		assert.Equal(t, "version", s.Version, rollout.ConfigurationVersion(1))
		assert.Equal(t, "document", string(s.Document), string(document("one")))
		second, _ := s.Outcome("two")
		assert.Equal(t, "result of the second publication", second.Result, configuration.RefusedBase)
	})
	t.Run("a publication appended twice is applied once", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		j.publish("one", 0, document("one"))
		s := folded(t, j)
		first, _ := s.Outcome("one")
		assert.Equal(t, "result", first.Result, configuration.Accepted)
		assert.Equal(t, "outcomes", len(s.Outcomes), 1)
	})
	t.Run("an invalid document is refused and leaves the version unchanged", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		j.publish("two", 1, []byte("Schema: 1\nName: two\nColour: red\n"))
		s := folded(t, j)
		invalid, _ := s.Outcome("two")
		assert.Equal(t, "result", invalid.Result, configuration.RefusedFaulty)
		assert.Equal(t, "version", s.Version, rollout.ConfigurationVersion(1))
	})
	t.Run("a publication without a required signature is refused", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		f := configuration.NewFold(configuration.Checks{VerifySignature: func(configuration.Publication) error { return fmt.Errorf("not signed") }})
		j.read(f, 10)
		s, _ := f.State()
		assert.Equal(t, "version", s.Version, rollout.ConfigurationVersion(0))
	})
}

func TestDangers(t *testing.T) {
	widen := func(c *rollout.Configuration) { c.Trainers[0].MaxVersionsBehind = 9 }
	remove := func(c *rollout.Configuration) { c.Pools[0].Servers = c.Pools[0].Servers[:1] }
	empty := func(c *rollout.Configuration) { c.Pools[0].Servers = nil }
	for _, c := range []struct {
		name   string
		change func(*rollout.Configuration)
		accept string
	}{
		{"a staleness bound widened beyond the limit", widen, "bound-widened/t"},
		{"a server removed that is still in use", remove, "server-removed/b"},
		{"a pool without servers", empty, "emptied/assistant"},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := &journal{}
			j.publish("one", 0, document("one"))
			j.publish("two", 1, document("two", c.change))
			j.publish("three", 1, document("three", c.change), c.accept)
			s := folded(t, j)
			two, _ := s.Outcome("two")
			three, _ := s.Outcome("three")
			assert.Equal(t, "result without acceptance", two.Result, configuration.RefusedDanger)
			assert.Equal(t, "result with acceptance", three.Result, configuration.Accepted)
		})
	}
	t.Run("a server declared as leaving may be removed", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		j.publish("two", 1, document("two", func(c *rollout.Configuration) { c.Pools[0].Servers[1].Leaving = true }))
		j.publish("three", 2, document("three", remove))
		assert.Equal(t, "version", folded(t, j).Version, rollout.ConfigurationVersion(3))
	})
}

func TestUnknownSchemaStopsTheFold(t *testing.T) {
	j := &journal{}
	j.publish("one", 0, document("one"))
	future, err := cbor.Marshal(map[string]any{"Schema": 2, "Novelty": true})
	assert.NoError(t, "encode", err)
	j.records = append(j.records, rollout.Record{Offset: 1, Data: future})
	j.publish("three", 1, document("three"))
	f := configuration.NewFold(configuration.Checks{})
	j.read(f, 10)
	s, _ := f.State()
	at, stopped := f.Blocked()
	assert.True(t, "the fold stopped", stopped)
	assert.Equal(t, "offset of the unknown record", at, rollout.Offset(1))
	assert.Equal(t, "version in force", s.Version, rollout.ConfigurationVersion(1))
}

func TestSnapshots(t *testing.T) {
	t.Run("a VM that joins late starts from a snapshot", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		s := folded(t, j)
		j.append(configuration.Record{Snapshot: &s})
		j.publish("two", 1, document("two"))
		j.drop(1)
		assert.Equal(t, "version", folded(t, j).Version, rollout.ConfigurationVersion(2))
	})
	t.Run("an outdated snapshot does not hide a newer change", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		old := folded(t, j)
		j.publish("two", 1, document("two"))
		j.append(configuration.Record{Snapshot: &old})
		assert.Equal(t, "version of a VM that read all records", folded(t, j).Version, rollout.ConfigurationVersion(2))
		j.drop(1)
		assert.Equal(t, "version of a VM that starts at the newer change", folded(t, j).Version, rollout.ConfigurationVersion(2))
		j.drop(1)
		f := configuration.NewFold(configuration.Checks{})
		j.read(f, 10)
		_, ok := f.State()
		assert.Equal(t, "a VM whose log lacks the newer change has a state", ok, false)
	})
	t.Run("a joining VM starts again when the log drops records that it has not read", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		j.publish("two", 1, document("two"))
		f := configuration.NewFold(configuration.Checks{})
		full := folded(t, j)
		j.drop(1)
		j.read(f, 1)
		j.publish("three", 2, document("three"))
		j.drop(2)
		snapshot := full
		j.append(configuration.Record{Snapshot: &snapshot})
		j.read(f, 10)
		_, ok := f.State()
		assert.Equal(t, "the fold has a state from a snapshot that lacks a dropped record", ok, false)
	})
	t.Run("the state of a peer that is behind is not adopted after records were lost", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		behind := folded(t, j)
		j.publish("two", 1, document("two"))
		f := configuration.NewFold(configuration.Checks{})
		j.read(f, 10)
		j.publish("three", 2, document("three"))
		j.publish("four", 2, document("four"))
		j.drop(4)
		j.read(f, 10)
		assert.Equal(t, "adopted", f.Adopt(behind), false)
	})
	t.Run("a snapshot with a wrong digest is skipped", func(t *testing.T) {
		j := &journal{}
		j.publish("one", 0, document("one"))
		s := folded(t, j)
		s.Document = document("forged")
		j.append(configuration.Record{Snapshot: &s})
		j.drop(1)
		f := configuration.NewFold(configuration.Checks{})
		j.read(f, 10)
		_, ok := f.State()
		assert.Equal(t, "the fold has a state", ok, false)
	})
}

// TestReadersAgree interleaves publications, snapshots, retention, late joiners and
// adoption from peers at random. All readers at the same offset must have the same
// state, and no reader's version may decrease.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &journal{}
		readers := []*configuration.Fold{configuration.NewFold(configuration.Checks{})}
		// states maps an offset to the state of the readers at that offset.
		states := map[rollout.Offset]string{}
		versions := make([]rollout.ConfigurationVersion, 1, 8)
		for i := range rapid.IntRange(1, 50).Draw(t, "events") {
			r := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			s, ok := readers[r].State()
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				base := s.Version + rollout.ConfigurationVersion(rapid.IntRange(0, 1).Draw(t, "ahead"))
				j.publish(fmt.Sprint("p", i%20), base, document(fmt.Sprint("d", i)))
			case 2:
				if ok && s.Version > 0 {
					j.append(configuration.Record{Snapshot: &s})
				}
			case 3:
				j.drop(rapid.IntRange(0, 2).Draw(t, "drop"))
			case 4:
				if len(readers) < cap(versions) {
					readers, versions = append(readers, configuration.NewFold(configuration.Checks{})), append(versions, 0)
				}
			case 5:
				other := rapid.IntRange(0, len(readers)-1).Draw(t, "peer")
				if ps, ok := readers[other].State(); ok {
					readers[r].Adopt(ps)
				}
			default:
				j.read(readers[r], rapid.IntRange(1, 4).Draw(t, "limit"))
			}
			for k, f := range readers {
				s, ok := f.State()
				if s.Version < versions[k] {
					t.Fatalf("reader %d: got version %d after %d, want no decrease", k, s.Version, versions[k])
				}
				versions[k] = s.Version
				if !ok {
					continue
				}
				text := fmt.Sprint(s.Version, s.Digest)
				if known, seen := states[s.Next]; seen && known != text {
					t.Fatalf("reader %d at offset %d: got %s, want %s as for the other readers", k, s.Next, text, known)
				}
				states[s.Next] = text
			}
		}
	})
}

func TestDecodeInvalidDocuments(t *testing.T) {
	good := string(document("good"))
	for _, c := range []struct {
		name, document, want string
	}{
		{"empty", "", "empty"},
		{"an unknown field", good + "Colour: red\n", "Colour"},
		{"a wrong type", strings.Replace(good, "MaxConcurrency: 8", "MaxConcurrency: many", 1), "MaxConcurrency"},
		{"a duplicate field", good + "Name: again\n", "Name"},
		{"not YAML", "{{{", ""},
		{"excessive nesting of brackets", strings.Repeat("[", 100000), "nested"},
		{"excessive nesting of dashes", strings.Repeat("- ", 10000) + "x", "nested"},
		{"too long", strings.Repeat("#", configuration.MaxRecordBytes+1), "bytes"},
		{"an unsupported schema", strings.Replace(good, "Schema: 1", "Schema: 9", 1), "Schema: got 9, expected 1"},
		{"a host name", strings.Replace(good, "10.0.0.1:80", "engine:80", 1), "Pools[0].Servers[0].Address"},
		{"an unknown zone", strings.Replace(good, "Zone: Bole", "Zone: Mars", 1), `"Mars" is not in Zones`},
		{"a share out of range", strings.Replace(good, "Share: 1", "Share: 0", 1), "Trainers[0].Share: got 0, expected 1 to 1000"},
		{"a short token hash", strings.Replace(good, strings.Repeat("0", 64), "00", 1), "Trainers[0].TokenHash"},
		{"an unknown model", strings.Replace(good, "Model: m", "Model: n", 1), "does not serve"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := configuration.Decode([]byte(c.document))
			assert.ErrorContains(t, "decode", err, c.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(document("seed"))
	f.Add([]byte("Pools: [{Servers: [{}]}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := configuration.Decode(data)
		if err != nil {
			return
		}
		again, err := configuration.Encode(c)
		assert.NoError(t, "encode the decoded configuration", err)
		_, err = configuration.Decode(again)
		assert.NoError(t, "decode the encoded configuration", err)
	})
}

func FuzzDecodeRecord(f *testing.F) {
	p := configuration.Publication{ID: "one", Document: document("seed")}
	data, err := configuration.EncodeRecord(configuration.Record{Publication: &p})
	assert.NoError(f, "encode", err)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := configuration.DecodeRecord(data)
		if err == nil && r.Schema == configuration.RecordSchema && (r.Publication == nil) == (r.Snapshot == nil) {
			t.Errorf("got a record with both or neither of Publication and Snapshot, want exactly one")
		}
	})
}
