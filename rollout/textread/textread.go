// Package textread plans the reads of data that is spread over the partitions of a topic,
// and collects what they return. Locations that lie close together are read by one call,
// which also returns the records between them. It does no I/O and reads no clock.
package textread

import (
	"cmp"
	"fmt"
	"slices"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/job"
)

// RecordOverhead is the size of a record in a response in addition to its data, in bytes.
const RecordOverhead = 16

// Range is a read of consecutive records of one partition. It begins with a wanted record.
type Range struct {
	Partition int
	From      rollout.Offset
	Records   int
	// Bytes is the size of the records including their overhead. The size of the records
	// between the wanted ones is estimated.
	Bytes int
	// First is the index of the first location that the range belongs to.
	First int
	spans []span
}

// span is the part of a location that one range reads.
type span struct {
	// index is the index of the location, part that of the span's first record in it.
	index, part int
	partition   int
	from        rollout.Offset
	records     int
	bytes       int
}

func (s span) end() rollout.Offset { return s.from + rollout.Offset(s.records) }

func (s span) size() int { return s.bytes + s.records*RecordOverhead }

// Limits bound the ranges that a Collection plans.
type Limits struct {
	// CallBytes is the largest size of a range that has more than one record.
	CallBytes int
	// GapBytes is the largest estimated size of a gap that is read too.
	GapBytes int
}

// Collection is the data of locations, some of which have been read.
type Collection struct {
	locations []job.Location
	limits    Limits
	// parts holds the records of each location, nil if they haven't been read; missing is
	// their number.
	parts   [][][]byte
	missing []int
	// prefix is the number of complete locations before the first incomplete one.
	prefix int
}

// New returns a Collection of which nothing has been read.
func New(locations []job.Location, limits Limits) *Collection {
	c := &Collection{locations: locations, limits: limits, parts: make([][][]byte, len(locations)), missing: make([]int, len(locations))}
	for i, l := range locations {
		c.parts[i], c.missing[i] = make([][]byte, max(0, l.Records)), max(0, l.Records)
	}
	c.advance()
	return c
}

func (c *Collection) advance() {
	for c.prefix < len(c.missing) && c.missing[c.prefix] == 0 {
		c.prefix++
	}
}

// Prefix returns the number of complete locations before the first incomplete one.
func (c *Collection) Prefix() int { return c.prefix }

// Data returns the data of the locations of the prefix.
func (c *Collection) Data() [][]byte {
	out := make([][]byte, c.prefix)
	for i := range out {
		if parts := c.parts[i]; len(parts) == 1 {
			out[i] = parts[0]
		} else {
			out[i] = slices.Concat(parts...)
		}
	}
	return out
}

// Plan returns the reads of all locations, in the order of the first location of each.
func (c *Collection) Plan() []Range {
	var spans []span
	for i, l := range c.locations {
		if l.Records > 0 {
			spans = append(spans, span{index: i, partition: l.Partition, from: l.Offset, records: l.Records, bytes: l.Bytes})
		}
	}
	return plan(spans, c.limits)
}

// Add adds the records that the read of a range returned. If it returned fewer than the
// range has, Add returns the reads of the rest. It fails if the records are not those of
// the range; then repeating the read may not make progress.
func (c *Collection) Add(r Range, records []rollout.Record) ([]Range, error) {
	if len(records) == 0 || records[0].Offset != r.From {
		return nil, fmt.Errorf("partition %d: got %d records, expected some from offset %d", r.Partition, len(records), r.From)
	}
	var rest []span
	for _, s := range r.spans {
		at := int(s.from - r.From)
		n := max(0, min(s.records, len(records)-at))
		for k := range n {
			s.bytes -= len(records[at+k].Data)
			if part := &c.parts[s.index][s.part+k]; *part == nil {
				// The copy releases the response with its foreign records.
				*part = append([]byte{}, records[at+k].Data...)
				c.missing[s.index]--
			}
		}
		if n < s.records {
			s.part, s.from, s.records, s.bytes = s.part+n, s.from+rollout.Offset(n), s.records-n, max(0, s.bytes)
			rest = append(rest, s)
		}
	}
	c.advance()
	return plan(rest, c.limits), nil
}

// plan merges spans into ranges.
func plan(spans []span, limits Limits) []Range {
	var pieces []span
	for _, s := range spans {
		pieces = append(pieces, split(s, limits.CallBytes)...)
	}
	slices.SortStableFunc(pieces, func(a, b span) int {
		return cmp.Or(cmp.Compare(a.partition, b.partition), cmp.Compare(a.from, b.from))
	})
	joined, mean := joinGaps(pieces, limits.GapBytes)
	var out []Range
	for i, s := range pieces {
		if joined[i] && out[len(out)-1].extend(s, mean, limits.CallBytes) {
			continue
		}
		out = append(out, Range{Partition: s.partition, From: s.from, Records: s.records, Bytes: s.size(), First: s.index, spans: []span{s}})
	}
	slices.SortStableFunc(out, func(a, b Range) int { return cmp.Compare(a.First, b.First) })
	return out
}

// split divides a span that exceeds maxBytes. All records of a location but the last have
// the same size.
func split(s span, maxBytes int) []span {
	if s.records < 2 || s.size() <= maxBytes {
		return []span{s}
	}
	size := s.bytes / (s.records - 1)
	most := max(1, maxBytes/(size+RecordOverhead))
	var out []span
	for s.records > most {
		head := s
		head.records, head.bytes = most, min(s.bytes, most*size)
		out = append(out, head)
		s.part, s.from, s.records, s.bytes = s.part+most, s.from+rollout.Offset(most), s.records-most, s.bytes-head.bytes
	}
	return append(out, s)
}

// joinGaps reports for each of the sorted pieces whether the gap before it is read too,
// and returns the mean size of a record. The smallest gaps are read, as far as all of them
// have no more records than the pieces and none exceeds maxGap bytes of the mean size.
func joinGaps(pieces []span, maxGap int) (joined []bool, mean int) {
	joined = make([]bool, len(pieces))
	size, records := 0, 0
	gaps := make([]int, len(pieces))
	var order []int
	for i, s := range pieces {
		size, records = size+s.size(), records+s.records
		if i > 0 && pieces[i-1].partition == s.partition {
			gaps[i] = max(0, int(s.from)-int(pieces[i-1].end()))
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(gaps[a], gaps[b]) })
	budget := records
	mean = size / max(1, records)
	for _, i := range order {
		if budget -= gaps[i]; budget < 0 || gaps[i]*mean > maxGap {
			break
		}
		joined[i] = true
	}
	return joined, mean
}

// extend adds a span unless the range gets too large.
func (r *Range) extend(s span, mean, maxBytes int) bool {
	end := r.From + rollout.Offset(r.Records)
	gap := max(0, int(s.from)-int(end))
	size := r.Bytes + gap*mean + s.size()
	if size > maxBytes {
		return false
	}
	r.Records, r.Bytes, r.First = max(r.Records, int(s.end()-r.From)), size, min(r.First, s.index)
	r.spans = append(r.spans, s)
	return true
}
