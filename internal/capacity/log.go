package capacity

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/journal"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// appendsPerNodePerSecond is the limit of grouped log appends that section 3.3 of
// the design page sets for each node.
const appendsPerNodePerSecond = 10

// appendRecord counts a log record and delivers it to every node after logDelay.
func (c *cell) appendRecord(out *control.AppendRecord) {
	// A node appends a HomeBegan in a snapshot record.
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
	c.schedule(logDelay, func() {
		for _, n := range c.nodes {
			c.step(n, record)
		}
	})
}

// recordBytes returns the size of an encoded log record.
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

// jobSample is the cost of a number of durable jobs.
type jobSample struct {
	jobs        int
	records     int
	recordBytes int
	// openJobHeapBytes is the heap of a node for 20 times as many open jobs.
	openJobHeapBytes float64
}

// measureJobs runs durable jobs to their end and counts their log records. The
// heap is that of a node with 20 times as many open jobs.
func measureJobs(jobs int, seed uint64) (jobSample, error) {
	c, err := newCell(3, 48, 1, seed)
	if err != nil {
		return jobSample{}, err
	}
	c.advance(sessionSettleTime)
	generator := &loadGenerator{cell: c, teams: 1}
	generator.createHomes()
	c.advance(2 * time.Second)
	c.meter = newMeter()
	for range jobs {
		generator.submit(kindBatch, workload.ModeJob, shortRunTime)
		c.advance(20 * time.Millisecond)
	}
	c.advance(5 * time.Second)
	sample := jobSample{jobs: jobs, records: c.meter.records[string(journal.KindJobAccepted)] + c.meter.records[string(journal.KindJobEnded)], recordBytes: c.meter.records["bytes"]}
	sample.openJobHeapBytes, err = measureOpenJobHeap(jobs*20, seed)
	return sample, err
}

// measureOpenJobHeap returns the heap bytes that a node uses for the acceptance
// records of open jobs of which it isn't the home.
func measureOpenJobHeap(jobs int, seed uint64) (float64, error) {
	c, err := newCell(3, 6, 1, seed)
	if err != nil {
		return 0, err
	}
	c.advance(time.Second)
	heapBefore := liveHeapBytes()
	for range jobs {
		request := workload.Request{Key: c.newKey(), Team: "elsewhere", Kind: kindBatch, Mode: workload.ModeJob, Payload: make([]byte, payloadBytes)}
		c.step(c.nodes[0], &control.RecordRead{Accepted: &control.JobAccepted{Request: request, Region: "elsewhere", At: c.now}})
	}
	heapAfter := liveHeapBytes()
	c.advance(0) // Keeps the cell reachable until its heap is measured.
	return float64(heapAfter) - float64(heapBefore), nil
}
