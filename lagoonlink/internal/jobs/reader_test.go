package jobs

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonlink.org/lagoonlink/internal/pause"
	"lagoonlink.org/lagoonlink/internal/standin"
	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/tenancy"
)

const (
	// roundTrip is the duration of a call to the slow journal.
	roundTrip = 15 * time.Millisecond
	// patience is how long a caller waits for a response.
	patience = 1500 * time.Millisecond
	// textSamples and textBytes make two pages of each job, the first of 117 texts.
	textSamples = 160
	textBytes   = 7 << 10
)

// slowJournal is a journal with a round trip. It counts the reads of texts.
type slowJournal struct {
	rollout.Journal
	// delay returns the duration of a read of texts.
	delay func(from rollout.Offset) time.Duration
	// fail returns the error of a read of texts, or nil.
	fail func(from rollout.Offset) error

	mu             sync.Mutex
	calls, bytes   int
	running, peak  int
	asked, maximum int
}

func (j *slowJournal) Read(ctx context.Context, p rollout.Partition, from rollout.Offset, maxBytes int, wait time.Duration) (rollout.ReadResult, error) {
	if p.Topic != job.TopicText {
		return j.Journal.Read(ctx, p, from, maxBytes, wait)
	}
	j.mu.Lock()
	j.calls++
	j.running++
	j.asked += maxBytes
	j.peak, j.maximum = max(j.peak, j.running), max(j.maximum, j.asked)
	j.mu.Unlock()
	pause.For(ctx, j.delay(from))
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running--
	j.asked -= maxBytes
	if ctx.Err() != nil {
		return rollout.ReadResult{}, rollout.Fail(rollout.MayHaveRun, rollout.ReasonLogUnavailable, ctx.Err())
	}
	if err := j.fail(from); err != nil {
		return rollout.ReadResult{}, err
	}
	r, err := j.Journal.Read(ctx, p, from, maxBytes, wait)
	for _, e := range r.Records {
		j.bytes += len(e.Data)
	}
	return r, err
}

func textOf(id string, sample int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%s-%04d ", id, sample)), textBytes/len(id)+1)[:textBytes]
}

// alternate returns a manager on a slow journal that holds the results of jobs, named 0, 1
// and so on, whose texts alternate in one partition.
func alternate(t *testing.T, jobs int) (*Manager, *slowJournal) {
	t.Helper()
	store := standin.NewStore(1).ForVM("a")
	slow := &slowJournal{
		Journal: store, delay: func(rollout.Offset) time.Duration { return roundTrip }, fail: func(rollout.Offset) error { return nil },
	}
	m := startManagerOn(t, slow, store)
	var records []job.Record
	for n := range jobs {
		s := &job.Submission{ID: fmt.Sprint(n), Model: "m", At: time.Now(), Samples: make([]job.Sample, textSamples)}
		records = append(records, job.Record{Accepted: s.Accept(job.Location{})})
	}
	for i := range textSamples {
		for n := range jobs {
			id := fmt.Sprint(n)
			first, err := store.Append(t.Context(), rollout.Partition{Topic: job.TopicText}, [][]byte{textOf(id, i)})
			assert.NoError(t, "append a text", err)
			location := job.Location{Offset: first, Records: 1, Bytes: textBytes}
			records = append(records, job.Record{Result: &job.Result{Job: id, Sample: fmt.Sprint(i), Index: i, Text: location}})
		}
	}
	for _, r := range records {
		data, err := job.Encode(r)
		assert.NoError(t, "encode", err)
		_, err = store.Append(t.Context(), rollout.Partition{Topic: job.TopicIndex}, [][]byte{data})
		assert.NoError(t, "append a record", err)
	}
	return m, slow
}

// runInVirtualTime runs a subtest whose time only passes while all its goroutines wait. On a busy
// machine the callers' patience would otherwise end before the reads have been tried.
func runInVirtualTime(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// readPage reads one page as a caller with limited patience does.
func readPage(t *testing.T, m *Manager, id string, after int) (job.Results, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	r, err := m.Results(ctx, tenancy.Caller{}, id, after, 0)
	for i, e := range r.Results {
		assert.True(t, fmt.Sprintf("text %d is that of its sample", after+i), bytes.Equal(e.Text, textOf(id, after+i)))
	}
	return r, err
}

// TestAlternatingJobsAreReadInTime guards against finished jobs that can't be read within
// the caller's patience, because one call to the store was made for each text.
func TestAlternatingJobsAreReadInTime(t *testing.T) {
	for _, jobs := range []int{2, 8, 32} {
		runInVirtualTime(t, fmt.Sprint(jobs, " jobs"), func(t *testing.T) {
			m, slow := alternate(t, jobs)
			startedAt, pages := time.Now(), 0
			for after := 0; after < textSamples; pages++ {
				r, err := readPage(t, m, "1", after)
				assert.NoError(t, "read a page", err)
				assert.True(t, "the page has results", r.Next > after)
				after = r.Next
			}
			t.Logf("%d jobs: %d pages, %d calls, %d KiB, %v", jobs, pages, slow.calls, slow.bytes>>10, time.Since(startedAt).Round(time.Millisecond))
			assert.Equal(t, "pages", pages, 2)
		})
	}
}

// TestSlowPageIsCut guards against results that a caller never gets, because some of a
// page's texts take longer than its patience: the page ends before the first slow text.
func TestSlowPageIsCut(t *testing.T) {
	const jobs = 32
	tests := []struct {
		name string
		// fast and slow are the durations of the calls before and from offset slowFrom on.
		fast     time.Duration
		slowFrom rollout.Offset
		// least and most bound the results of the page.
		least, most int
	}{
		{name: "a text in the middle", fast: roundTrip, slowFrom: jobs * 20, least: 20, most: 20},
		{name: "all but the first call", fast: roundTrip, slowFrom: 1, least: 1, most: 1},
		{name: "the first call takes longer than a page", fast: pageTime + 100*time.Millisecond, slowFrom: 1, least: 1, most: 1},
	}
	for _, tt := range tests {
		runInVirtualTime(t, tt.name, func(t *testing.T) {
			m, slow := alternate(t, jobs)
			slow.delay = func(from rollout.Offset) time.Duration {
				if from >= tt.slowFrom {
					return time.Minute
				}
				return tt.fast
			}
			r, err := readPage(t, m, "0", 0)
			assert.NoError(t, "read a page", err)
			assert.True(t, fmt.Sprintf("%d results are what was read", r.Next), r.Next >= tt.least && r.Next <= tt.most)
			assert.Equal(t, "next", r.Next, len(r.Results))
		})
	}
}

// TestFailedReadReturnsPrefix guards against texts that were read and are withheld because
// the read of a later one failed, and against a gap in place of the failed one.
func TestFailedReadReturnsPrefix(t *testing.T) {
	refused := rollout.Refuse(rollout.ReasonLogUnavailable, "refused by the test")
	runInVirtualTime(t, "a later text", func(t *testing.T) {
		m, slow := alternate(t, 32)
		slow.fail = func(from rollout.Offset) error {
			if from == 32*20 {
				return refused
			}
			return nil
		}
		r, err := readPage(t, m, "0", 0)
		assert.NoError(t, "read a page", err)
		assert.Equal(t, "next", r.Next, 20)
	})
	runInVirtualTime(t, "the first text", func(t *testing.T) {
		m, slow := alternate(t, 32)
		slow.fail = func(from rollout.Offset) error {
			if from == 0 {
				return refused
			}
			return nil
		}
		_, err := readPage(t, m, "0", 0)
		f := rollout.FailureOf(err)
		assert.Equal(t, "verdict", f.Verdict, rollout.NotRun)
		assert.True(t, "retry after", f.RetryAfter > 0)
	})
}

// TestReadsEndWithCaller guards against reads that go on after their caller left, and keep
// the budget from the callers that wait.
func TestReadsEndWithCaller(t *testing.T) {
	m, slow := alternate(t, 8)
	slow.delay = func(rollout.Offset) time.Duration { return time.Minute }
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(4*roundTrip, leave)
	_, err := m.Results(ctx, tenancy.Caller{}, "0", 0, 0)
	assert.True(t, "the read failed", err != nil)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		slow.mu.Lock()
		running := slow.running
		slow.mu.Unlock()
		if running == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("got %d calls in progress, want 0", running)
		}
	}
	slow.delay = func(rollout.Offset) time.Duration { return roundTrip }
	_, err = readPage(t, m, "0", 0)
	assert.NoError(t, "read a page after that", err)
}

// TestReadsShareBudget guards against many callers whose reads exceed what the VM may have
// in progress.
func TestReadsShareBudget(t *testing.T) {
	for _, tt := range []struct {
		name          string
		memory, bytes int
	}{
		{name: "large VM", memory: 536 << 20, bytes: 4 << 20},
		{name: "small VM", memory: 136 << 20, bytes: 136 << 20 / 128},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, slow := alternate(t, 4)
			m.config.MemoryBytes = tt.memory
			m.reader = newReader(m.config)
			var callers sync.WaitGroup
			for n := range 32 {
				callers.Go(func() {
					_, err := m.Results(t.Context(), tenancy.Caller{}, fmt.Sprint(n%4), 0, 0)
					assert.True(t, "the read succeeds", err == nil)
				})
			}
			callers.Wait()
			slow.mu.Lock()
			defer slow.mu.Unlock()
			assert.AtMost(t, "calls", slow.peak, maxReadCalls)
			assert.AtMost(t, "bytes", slow.maximum, tt.bytes)
			assert.True(t, "reads were concurrent", slow.peak > 1)
		})
	}
}

// TestBatchIsGroupedByJob guards against texts of one job that lie apart although one
// append stores them, and against fragments that are kept because they follow the result
// of their sample.
func TestBatchIsGroupedByJob(t *testing.T) {
	store := standin.NewStore(1).ForVM("a")
	w := newWriter(Config{Journal: store, RecordBytes: 1 << 18, CallBytes: 1 << 21}, 0)
	for i := range 3 {
		for _, id := range []string{"b", "a"} {
			sample := fmt.Sprint(id, i)
			w.enqueue(sampleOutput{job: id, text: []byte(sample + " fragment"), fragment: &job.Fragment{Sample: sample}})
			w.enqueue(sampleOutput{job: id, text: []byte(sample), result: &job.Result{Job: id, Sample: sample, Index: i}})
		}
	}
	w.write(t.Context(), w.collectBatch(t.Context(), <-w.queue))
	r, err := store.Read(t.Context(), rollout.Partition{Topic: job.TopicText}, 0, maxReadBytes, 0)
	assert.NoError(t, "read the texts", err)
	got := ""
	for _, e := range r.Records {
		got += string(e.Data) + ","
	}
	assert.Equal(t, "texts", got, "a0 fragment,a1 fragment,a2 fragment,a0,a1,a2,b0 fragment,b1 fragment,b2 fragment,b0,b1,b2,")
}

// TestLargeRecordOnSmallVM guards against a read that waits for ever because one record is
// larger than the VM's budget.
func TestLargeRecordOnSmallVM(t *testing.T) {
	store := standin.NewStore(1).ForVM("a")
	want := bytes.Repeat([]byte("x"), 2*minReadsBytes)
	_, err := store.Append(t.Context(), rollout.Partition{Topic: job.TopicText}, [][]byte{want})
	assert.NoError(t, "append", err)
	m := startManagerOn(t, store, store)
	m.config.MemoryBytes = 1
	m.reader = newReader(m.config)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	got, err := m.reader.readOne(ctx, readRequest{topic: job.TopicText}, job.Location{Records: 1, Bytes: len(want)})
	assert.NoError(t, "read", err)
	assert.True(t, "the data is whole", bytes.Equal(got, want))
}
