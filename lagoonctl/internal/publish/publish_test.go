package publish_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlink.org/declare"
	"lagoonlink.org/lagoonctl/internal/publish"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/configuration"
)

// fakeLog is an in-memory log. Each append takes the next fault from faults.
type fakeLog struct {
	records []rollout.Record
	faults  []fault
}

// fault is a failure of one append; the zero value is none.
type fault uint8

const (
	lostResponse fault = iota + 1
	outage
	rateLimited
)

var errDown = errors.New("the log is down")

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (rollout.Offset, error) {
	var f fault
	if len(l.faults) > 0 {
		f, l.faults = l.faults[0], l.faults[1:]
	}
	switch f {
	case outage:
		return 0, rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, errDown)
	case rateLimited:
		return 0, rollout.Refuse(rollout.ReasonLogLimited, "too many appends")
	}
	at := rollout.Offset(len(l.records))
	l.records = append(l.records, rollout.Record{Offset: at, Data: data})
	if f == lostResponse {
		return 0, rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, errDown)
	}
	return at, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from rollout.Offset, limit int, _ time.Duration) (rollout.ReadResult, error) {
	r := rollout.ReadResult{Next: rollout.Offset(len(l.records))}
	if int(from) < len(l.records) {
		rest := l.records[from:]
		r.Records = rest[:min(limit, len(rest))]
	}
	return r, nil
}

func document(t *testing.T, name string) []byte {
	t.Helper()
	c, err := declare.NewDeployment(name).WithZones("Bole").Build()
	assert.NoError(t, "build", err)
	data, err := configuration.Encode(c)
	assert.NoError(t, "encode", err)
	return data
}

func TestPublish(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  []fault
		records int
	}{
		{"without faults", nil, 1},
		{"after a lost reply: recognized as appended", []fault{lostResponse}, 1},
		{"after an outage", []fault{outage, outage}, 1},
		{"after a rate limit", []fault{rateLimited}, 1},
		{"after all of them", []fault{outage, rateLimited, lostResponse}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &fakeLog{faults: c.faults}
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				o, s, err := publish.New(l, configuration.Checks{}).Publish(ctx, publish.Request{Document: document(t, "one")})
				assert.NoError(t, "publish", err)
				assert.Equal(t, "result", o.Result, configuration.Accepted)
				assert.Equal(t, "version", s.Version, rollout.ConfigurationVersion(1))
				assert.Equal(t, "records", len(l.records), c.records)
			})
		})
	}
	t.Run("the loser of a race gets RefusedBase", func(t *testing.T) {
		l := &fakeLog{}
		_, _, err := publish.New(l, configuration.Checks{}).Publish(t.Context(), publish.Request{Document: document(t, "one")})
		assert.NoError(t, "publish", err)
		o, _, err := publish.New(l, configuration.Checks{}).Publish(t.Context(), publish.Request{Document: document(t, "two")})
		assert.NoError(t, "publish", err)
		assert.Equal(t, "result", o.Result, configuration.RefusedBase)
	})
	t.Run("if the log stays down, the error says that the outcome is unknown", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			faults := make([]fault, 100)
			for i := range faults {
				faults[i] = outage
			}
			_, _, err := publish.New(&fakeLog{faults: faults}, configuration.Checks{}).Publish(ctx, publish.Request{Document: document(t, "one")})
			assert.ErrorContains(t, "publish", err, "it is not known whether it was appended")
		})
	})
}
