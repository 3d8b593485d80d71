package gateway_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lagoonlink.org/rollout"
	"lagoonlink.org/rollout/assert"
	"lagoonlink.org/rollout/job"
	"lagoonlink.org/rollout/tenancy"
)

// TestAcceptedJobIsKnownAfterTrim guards against VMs that deny an accepted job, because the
// first records of its partition had expired before the VMs started and read it.
func TestAcceptedJobIsKnownAfterTrim(t *testing.T) {
	d := deploy(t, 3, time.Millisecond)
	old, err := job.Encode(job.Record{End: &job.End{Job: "old"}})
	assert.NoError(t, "encode", err)
	for n := range partitions {
		p := rollout.Partition{Topic: job.TopicIndex, Number: n}
		for range 40 {
			_, err := d.store.ForVM("former").Append(context.Background(), p, [][]byte{old})
			assert.NoError(t, "append", err)
		}
		d.store.Trim(p)
	}
	var vms []rollout.VMName
	for n := range 2 * partitions {
		vms = append(vms, rollout.VMName(fmt.Sprint("v", n)))
		d.start(vms[n])
	}
	ask := func(vm rollout.VMName, id string) {
		_, err := d.listeners[vm].manager.Results(context.Background(), tenancy.Caller{}, id, 0, 0)
		assert.NoError(t, "results of "+id+" at "+string(vm), err)
		_, err = d.listeners[vm].manager.SampleBody(context.Background(), tenancy.Caller{}, id, id+"-0")
		assert.NoError(t, "body of a sample of "+id+" at "+string(vm), err)
	}
	for n := range 2 * partitions {
		s := newJob(fmt.Sprint("known", n), 2, 1)
		d.submit(t, vms[n], s)
		for _, vm := range vms {
			ask(vm, s.ID)
		}
	}
	d.kill(vms[0])
	d.start("again")
	for n := range 2 * partitions {
		ask("again", fmt.Sprint("known", n))
	}
}
