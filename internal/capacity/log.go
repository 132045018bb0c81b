package capacity

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// appendsPerNode is the limit of grouped appends, from section 3.3 of the
// design page: 10 a second for each node.
const appendsPerNode = 10

// appendRecord writes a record to the log, which every node then reads.
func (c *cell) appendRecord(out *control.AppendRecord) {
	kind, body := journal.KindSnapshot, any(out.Began)
	switch {
	case out.Accepted != nil:
		kind, body = journal.KindJobAccepted, out.Accepted
	case out.Ended != nil:
		kind, body = journal.KindJobEnded, out.Ended
	}
	c.meter.records[string(kind)]++
	c.meter.records["bytes"] += recordBytes(kind, body, c.now)
	record := &control.RecordRead{Accepted: out.Accepted, Ended: out.Ended, Began: out.Began}
	c.after(logDelay, func() {
		for _, e := range c.entries {
			c.step(e, record)
		}
	})
}

func recordBytes(kind journal.Kind, body any, now time.Time) int {
	record, err := journal.NewRecord(kind, "entry-1", now, body)
	if err != nil {
		panic(err)
	}
	encoded, err := cbor.Marshal(record)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}

// jobSample is what a number of durable jobs cost.
type jobSample struct {
	jobs            int
	records         int
	bytes           int
	heapPerNodeOpen float64
}

// measureJobs runs durable jobs to their end and counts the records; the heap
// is that of one node that has read the acceptance of as many open jobs.
func measureJobs(jobs int, seed uint64) (jobSample, error) {
	c, err := newCell(3, 48, 1, seed)
	if err != nil {
		return jobSample{}, err
	}
	c.run(settleTime)
	l := &load{cell: c, teams: 1}
	l.touch()
	c.run(2 * time.Second)
	c.meter = newMeter()
	for range jobs {
		l.submit(kindBatch, workload.ModeJob, shortRun)
		c.run(20 * time.Millisecond)
	}
	c.run(5 * time.Second)
	sample := jobSample{jobs: jobs, records: c.meter.records[string(journal.KindJobAccepted)] + c.meter.records[string(journal.KindJobEnded)], bytes: c.meter.records["bytes"]}
	sample.heapPerNodeOpen, err = heapOfOpenJobs(jobs*20, seed)
	return sample, err
}

// heapOfOpenJobs returns the heap of one node that is not their home and has
// read the acceptances of open jobs.
func heapOfOpenJobs(jobs int, seed uint64) (float64, error) {
	c, err := newCell(3, 6, 1, seed)
	if err != nil {
		return 0, err
	}
	c.run(time.Second)
	before := heapInUse()
	for range jobs {
		request := workload.Request{Key: c.newKey(), Team: "elsewhere", Kind: kindBatch, Mode: workload.ModeJob, Payload: make([]byte, payloadBytes)}
		c.step(c.entries[0], &control.RecordRead{Accepted: &control.JobAccepted{Request: request, Region: "elsewhere", At: c.now}})
	}
	after := heapInUse()
	c.run(0)
	return float64(after) - float64(before), nil
}
