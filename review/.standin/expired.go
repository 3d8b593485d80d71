package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["expired-history"] = expiredHistory }

// expiredHistory: the machines start on a store that has been in use for longer than it
// keeps records. Batches are accepted, and every machine is asked for them. Then one machine
// after the other is killed, starts again and is asked once more.
func expiredHistory(folder string) {
	const (
		batches = 12
		// There are more machines than partitions, as in the installations.
		machines = 10
		restarts = 3
		// settle is the installation's settle_ms; each question comes later than that.
		settle  = time.Second
		stable  = 3 * time.Second
		downFor = 3500 * time.Millisecond
	)
	st, err := startStore()
	if err != nil {
		cannotRun("store: %v", err)
	}
	if trouble {
		st.expired = 400
		note("store: the first %d records of each partition are older than retention_s and have expired", st.expired)
	}
	st.put("keyed.op", "config", rolloutConfig(1))
	for range 3 {
		s := newSampler("readers", 12, 36)
		s.models["m0"] = 1
		s.run = func(c *channel, q *request) { streamItem(s, c, q, 12, 20*time.Millisecond) }
		s.listen()
		s.beat(st)
		note("sampler %s", s.id)
	}
	var vms []*vm
	for n := range machines {
		vms = append(vms, newVM(n, folder, st.address))
	}
	for _, v := range vms {
		v.waitReady(15 * time.Second)
	}
	// From here on the machines are in touch.
	time.Sleep(stable + time.Second)
	var violations []string
	acceptedAt := map[string]time.Time{}
	ask := func(v *vm, batch string) {
		age := time.Since(acceptedAt[batch])
		status, data := call(http.MethodGet, v.front, "/api/lots/"+batch+"?after=0", "", map[string]string{"X-Wait-Ms": "1000"}, nil)
		note("trainer: results of %s at %s, %.1f s after the 202: status %d, %d bytes", batch, v.name, age.Seconds(), status, len(data))
		if status == http.StatusNotFound || status == http.StatusGone {
			violations = append(violations, fmt.Sprintf("%s answers %d for batch %s, %.1f s after the 202", v.name, status, batch, age.Seconds()))
		}
	}
	name := func(n int) string { return fmt.Sprintf("b%02d", n) }
	for n := range batches {
		if !submit(vms[n%machines:], name(n), 1, newItems(name(n), 3, 4), 3) {
			cannotRun("batch %s isn't accepted", name(n))
		}
		acceptedAt[name(n)] = time.Now()
	}
	time.Sleep(settle + time.Second)
	for _, v := range vms {
		for n := range batches {
			ask(v, name(n))
		}
	}
	for _, v := range vms[machines-restarts:] {
		if trouble {
			v.signal(syscall.SIGKILL)
			<-v.exited
			time.Sleep(downFor)
			v.start()
			v.waitReady(15 * time.Second)
		}
		time.Sleep(stable + time.Second)
		for n := range batches {
			ask(v, name(n))
		}
	}
	verdict("LOST", violations)
}
