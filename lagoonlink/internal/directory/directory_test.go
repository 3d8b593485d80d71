package directory_test

import (
	"context"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"lagoonlink.org/lagoonlink/internal/directory"
	"lagoonlink.org/lagoonlink/internal/event"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/isolation"
)

var partition = rollout.Partition{Topic: directory.Topic}

// start starts the directory of a VM and waits until it is announced.
func start(t *testing.T, s *standin.Store, vm rollout.VMName) *directory.Directory {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	before := len(s.Records(partition))
	d := directory.New(directory.Config{VM: vm, Zone: "z", Address: "10.0.0.9:7660", Journal: s.ForVM(vm), Reaches: func() bool { return true }, Changed: make(chan struct{}), Logger: event.NewLogger(log)})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	for len(s.Records(partition)) == before {
		time.Sleep(time.Millisecond)
	}
	// The offset is known a moment after the record is there.
	time.Sleep(20 * time.Millisecond)
	return d
}

// say appends an announcement of another VM.
func say(t *testing.T, s *standin.Store, fields map[string]any) {
	t.Helper()
	data, err := cbor.Marshal(fields)
	assert.NoError(t, "encode", err)
	_, err = s.ForVM("b").Append(t.Context(), partition, [][]byte{data})
	assert.NoError(t, "append", err)
}

// TestLateAnnouncementsAreIgnored guards against requests that are passed on to VMs that have
// left, or that reach no server, after an append that was carried out late.
func TestLateAnnouncementsAreIgnored(t *testing.T) {
	b := func(started int64, number uint64, changes map[string]any) map[string]any {
		fields := map[string]any{"VM": "b", "Zone": "z", "Address": "10.0.0.2:7660", "Form": 1, "Reaches": true, "Started": started, "Number": number}
		maps.Copy(fields, changes)
		return fields
	}
	leaving, cutOff := map[string]any{"Leaving": true}, map[string]any{"Reaches": false}
	for name, c := range map[string]struct {
		said []map[string]any
		want int
	}{
		"of a VM that leaves":                     {[]map[string]any{b(1, 1, nil), b(1, 3, leaving), b(1, 2, nil)}, 0},
		"of a VM that reaches no server":          {[]map[string]any{b(1, 3, cutOff), b(1, 2, nil)}, 0},
		"of the process before":                   {[]map[string]any{b(1, 8, nil), b(2, 1, nil), b(1, 9, leaving)}, 1},
		"a process that was started again counts": {[]map[string]any{b(1, 9, leaving), b(2, 1, nil)}, 1},
		"a build that states no number counts":    {[]map[string]any{b(1, 9, leaving), b(0, 0, nil)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewStore(1)
			d := start(t, s, "a")
			for _, fields := range c.said {
				say(t, s, fields)
			}
			usable := 0
			for _, p := range d.Peers(t.Context()) {
				if p.Reaches {
					usable++
				}
			}
			assert.Equal(t, "usable VMs", usable, c.want)
		})
	}
	t.Run("announcements are numbered", func(t *testing.T) {
		s := standin.NewStore(1)
		start(t, s, "a").Leave()
		for end := time.Now().Add(5 * time.Second); len(s.Records(partition)) < 2 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		var numbers []uint64
		for _, data := range s.Records(partition) {
			var a struct {
				Started int64
				Number  uint64
			}
			assert.NoError(t, "decode", cbor.Unmarshal(data, &a))
			assert.True(t, "the start is stated", a.Started > 0)
			numbers = append(numbers, a.Number)
		}
		assert.Equal(t, "numbers", numbers, []uint64{1, 2})
	})
}

func TestPeers(t *testing.T) {
	b := func(changes map[string]any) map[string]any {
		fields := map[string]any{"VM": "b", "Zone": "z", "Address": "10.0.0.2:7660", "Form": 1, "Reaches": true}
		for k, v := range changes {
			fields[k] = v
		}
		return fields
	}
	known := isolation.Peer{VM: "b", Zone: "z", Address: "10.0.0.2:7660", Reaches: true}
	for name, c := range map[string]struct {
		said []map[string]any
		want []isolation.Peer
	}{
		"nobody else":                 {nil, nil},
		"another VM":                  {[]map[string]any{b(nil)}, []isolation.Peer{known}},
		"the newest word counts":      {[]map[string]any{b(map[string]any{"Reaches": false}), b(nil)}, []isolation.Peer{known}},
		"a VM that is leaving":        {[]map[string]any{b(nil), b(map[string]any{"Leaving": true})}, nil},
		"this VM under its own name":  {[]map[string]any{b(map[string]any{"VM": "a"})}, nil},
		"fields of a newer build":     {[]map[string]any{b(map[string]any{"Form": 2, "Future": 1})}, []isolation.Peer{known}},
		"an address that is none":     {[]map[string]any{b(map[string]any{"Address": "x"})}, nil},
		"a build without the hop":     {[]map[string]any{b(map[string]any{"Form": 0})}, nil},
		"an odd record after another": {[]map[string]any{b(nil), {"VM": 1}}, []isolation.Peer{known}},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewStore(1)
			d := start(t, s, "a")
			for _, fields := range c.said {
				say(t, s, fields)
			}
			got := d.Peers(t.Context())
			assert.True(t, "peers", slices.Equal(got, c.want))
		})
	}
	t.Run("VMs that announced themselves before this one started", func(t *testing.T) {
		s := standin.NewStore(1)
		say(t, s, b(map[string]any{"VM": "c", "At": time.Now().Add(-time.Minute).UnixMilli()}))
		say(t, s, b(map[string]any{"At": time.Now().Add(-4 * time.Second).UnixMilli()}))
		got := start(t, s, "a").Peers(t.Context())
		assert.True(t, "peers", slices.Equal(got, []isolation.Peer{known}))
	})
	t.Run("the last known ones while the store is away", func(t *testing.T) {
		s := standin.NewStore(1)
		d := start(t, s, "a")
		say(t, s, b(nil))
		assert.Equal(t, "peers", len(d.Peers(t.Context())), 1)
		s.SetDown("a", true)
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, "peers", len(d.Peers(t.Context())), 1)
	})
	t.Run("a VM announces that it is leaving", func(t *testing.T) {
		s := standin.NewStore(1)
		d := start(t, s, "a")
		d.Leave()
		for end := time.Now().Add(5 * time.Second); len(s.Records(partition)) < 2; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("no announcement")
			}
		}
		assert.Equal(t, "peers of another VM", len(start(t, s, "c").Peers(t.Context())), 0)
	})
}
