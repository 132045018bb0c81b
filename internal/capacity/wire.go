package capacity

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yuccalanding.example/yuccalanding/internal/peer"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/standin/workervm"
	"yuccalanding.example/yuccalanding/internal/worker"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

// Sizes in bytes of headers that the byte counters of the worker client do not
// include, and of a label.
const (
	// tcpHeaders is an IPv4 and a TCP header with timestamps. A call to a
	// worker is counted as one segment and one acknowledgement each way.
	tcpHeaders = 20 + 32
	// callHeaders is the header bytes of one call in each direction.
	callHeaders = 2 * tcpHeaders
	// encodedLabelBytes is the approximate size of a task's label, which is an encoded
	// control.Assignment.
	encodedLabelBytes = 180
)

var errNotConnected = errors.New("transports did not all connect within 5 s")

// processCPUTime returns the CPU time of the process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage fails only for invalid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// idleWatchSample is the cost of idle watches of stand-in workers with the real
// client.
type idleWatchSample struct {
	workers int
	// sentBytes and receivedBytes are those of one watch, with HTTP headers.
	sentBytes, receivedBytes float64
	// cpuTime is the CPU time of one watch in the client and the stand-in.
	cpuTime time.Duration
	// heapBytes is the heap of one worker's client and connections, and of the
	// stand-in's side of them.
	heapBytes float64
}

// fleet is a set of stand-in workers, each with a client that has an open session.
type fleet struct {
	standIns *workervm.Fleet
	stop     context.CancelFunc
	clients  []*worker.Client
	tokens   []worker.Token
}

func newFleet(ctx context.Context, count int) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	var options []workervm.Options
	for i := range count {
		options = append(options, workervm.Options{Worker: placement.Worker{
			Name: fmt.Sprintf("worker-%d", i), Region: regionNames[0], FailureDomain: "d", Rack: "r",
			Capacity: workload.Resources{MilliCPU: 1 << 20, MemoryMB: 1 << 20}, Slots: 1000, Connections: 1000,
		}})
	}
	standIns, err := workervm.Serve(ctx, options)
	if err != nil {
		stop()
		return nil, err
	}
	f := &fleet{standIns: standIns, stop: stop}
	for _, address := range standIns.Addresses {
		client := worker.New(worker.Options{Address: address})
		session, err := client.OpenSession(ctx, "entry-1", sessionLength)
		if err != nil {
			return nil, errors.Join(err, f.close())
		}
		f.clients, f.tokens = append(f.clients, client), append(f.tokens, session.Token)
	}
	return f, nil
}

func (f *fleet) close() error {
	for _, client := range f.clients {
		client.Close()
	}
	f.stop()
	return <-f.standIns.Done
}

func (f *fleet) bytes() (sent, received float64) {
	for _, client := range f.clients {
		clientSent, clientReceived := client.Bytes()
		sent, received = sent+float64(clientSent), received+float64(clientReceived)
	}
	return sent, received
}

// measureIdleWatches watches all idle workers at the same time, and each of them
// rounds times in sequence. It returns an error if any watch fails.
func measureIdleWatches(ctx context.Context, workers, rounds int, wait time.Duration) (idleWatchSample, error) {
	heapBefore := liveHeapBytes()
	f, err := newFleet(ctx, workers)
	if err != nil {
		return idleWatchSample{}, err
	}
	sent, received := f.bytes()
	startCPU := processCPUTime()
	var failed atomic.Int64
	var waitGroup sync.WaitGroup
	for i, client := range f.clients {
		waitGroup.Add(1)
		go func() {
			defer waitGroup.Done()
			for range rounds {
				if _, err := client.Watch(ctx, worker.WatchRequest{Token: f.tokens[i], Wait: wait}); err != nil {
					failed.Add(1)
				}
			}
		}()
	}
	waitGroup.Wait()
	cpuTime := processCPUTime() - startCPU
	sentNow, receivedNow := f.bytes()
	watches := float64(workers * rounds)
	sample := idleWatchSample{
		workers: workers, sentBytes: (sentNow - sent) / watches, receivedBytes: (receivedNow - received) / watches,
		cpuTime:   cpuTime / time.Duration(workers*rounds),
		heapBytes: (float64(liveHeapBytes()) - float64(heapBefore)) / float64(workers),
	}
	runtime.KeepAlive(f)
	if err := f.close(); err != nil {
		return sample, err
	}
	if count := failed.Load(); count > 0 {
		return sample, fmt.Errorf("%d watches of idle workers failed", count)
	}
	return sample, nil
}

// startSample is the total cost of tasks that are started one by one.
type startSample struct {
	tasks                    int
	sentBytes, receivedBytes float64
	calls                    int
	cpuTime                  time.Duration
}

// measureStarts starts tasks one by one on one worker and fetches and acknowledges
// their results. The figures are totals of all tasks.
func measureStarts(ctx context.Context, tasks int) (startSample, error) {
	f, err := newFleet(ctx, 1)
	if err != nil {
		return startSample{}, err
	}
	client, token := f.clients[0], f.tokens[0]
	sent, received := f.bytes()
	startCPU := processCPUTime()
	sample := startSample{tasks: tasks}
	for i := range tasks {
		task := worker.StartTask{
			ID:        placement.TaskID{Key: workload.Key(fmt.Sprintf("01890000-0000-7000-8000-%012d", i)), Attempt: 1_700_000_000_000},
			Resources: workload.Resources{MilliCPU: 1000, MemoryMB: 1024}, Connections: 1,
			Label: make([]byte, encodedLabelBytes), Payload: fmt.Appendf(nil, `{"run-ms":1,"pad":"%0*d"}`, payloadBytes-20, 0),
		}
		if _, err := client.Start(ctx, token, []worker.StartTask{task}); err != nil {
			return sample, errors.Join(err, f.close())
		}
		report, err := client.Watch(ctx, worker.WatchRequest{Token: token, Wait: watchWait})
		if err != nil {
			return sample, errors.Join(err, f.close())
		}
		acknowledgement := worker.WatchRequest{Token: token, ResultCursor: report.ResultCursor, Acknowledge: []placement.TaskID{task.ID}}
		if _, err := client.Watch(ctx, acknowledgement); err != nil {
			return sample, errors.Join(err, f.close())
		}
		sample.calls += 3
	}
	sample.cpuTime = processCPUTime() - startCPU
	sentNow, receivedNow := f.bytes()
	sample.sentBytes, sample.receivedBytes = sentNow-sent, receivedNow-received
	return sample, f.close()
}

// quicSample is the cost of one connection between two transports that send frames
// at a rate.
type quicSample struct {
	// framesPerSecond is the rate in one direction. overheadBytesPerSecond is the
	// wire bytes above the payload of the frames, in one direction: QUIC, UDP and
	// IPv4 headers and acknowledgements.
	framesPerSecond, overheadBytesPerSecond float64
	// cpuShare is the share of a core that one transport takes.
	cpuShare float64
}

// meshSample is the cost of one transport in a full mesh in which each sends
// frames to each of the others at meshFramesPerSecond.
type meshSample struct {
	members int
	// overheadBytesPerSecond is the wire bytes above payload that a node sends.
	overheadBytesPerSecond, cpuShare float64
}

// meshFramesPerSecond is about the rate of control frames from a node to each
// other node at the target: four heartbeats and two lease messages.
const meshFramesPerSecond = 6

// frameBytes is the size of the measured frames, about that of a heartbeat with a
// summary.
const frameBytes = 130

// transportTotals holds the totals of all transports over the measured time.
type transportTotals struct {
	frames, wireBytes float64
	seconds           float64
	cpuSeconds        float64
}

// runTransports connects transports in a full mesh on loopback. After settle, each
// sends rate frames a second to each of the others for the duration.
func runTransports(ctx context.Context, count, rate int, settle, duration time.Duration) (transportTotals, error) {
	ctx, cancel := context.WithCancel(ctx)
	var members []peer.Member
	var transports []*peer.Transport
	ended := make(chan error, count)
	for i := range count {
		name := fmt.Sprintf("entry-%d", i+1)
		transport, err := peer.New(peer.Options{
			Self: name, Region: regionNames[0], Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Secret: []byte("a secret of the capacity measurement"), Seed: 1, Receive: func(string, peer.Purpose, []byte) {},
		})
		if err != nil {
			cancel()
			for range transports {
				err = errors.Join(err, <-ended)
			}
			return transportTotals{}, err
		}
		transports = append(transports, transport)
		members = append(members, peer.Member{Name: name, Address: transport.Address(), Region: regionNames[0]})
		go func() { ended <- transport.Run(ctx) }()
	}
	result, err := sendFrames(transports, members, rate, settle, duration)
	cancel()
	for range transports {
		err = errors.Join(err, <-ended)
	}
	return result, err
}

func sendFrames(transports []*peer.Transport, members []peer.Member, rate int, settle, duration time.Duration) (transportTotals, error) {
	for _, transport := range transports {
		if err := transport.SetMembers(members); err != nil {
			return transportTotals{}, err
		}
	}
	for attempts := 0; !allConnected(transports); attempts++ {
		if attempts > 5000 {
			return transportTotals{}, errNotConnected
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(settle)
	before, startCPU, start := countSent(transports), processCPUTime(), time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for time.Since(start) < duration {
		<-ticker.C
		for i, transport := range transports {
			for j := range members {
				if i != j {
					transport.Send(members[j].Name, peer.Control, make([]byte, frameBytes))
				}
			}
		}
	}
	result := countSent(transports)
	result.frames -= before.frames
	result.wireBytes -= before.wireBytes
	result.seconds, result.cpuSeconds = time.Since(start).Seconds(), (processCPUTime() - startCPU).Seconds()
	return result, nil
}

func allConnected(transports []*peer.Transport) bool {
	for _, transport := range transports {
		for _, c := range transport.Counters().Peers {
			if !c.Connected {
				return false
			}
		}
	}
	return true
}

func countSent(transports []*peer.Transport) transportTotals {
	var sum transportTotals
	for _, transport := range transports {
		for _, c := range transport.Counters().Peers {
			sum.frames += float64(c.Control.FramesSent)
			sum.wireBytes += float64(c.WireSent)
		}
	}
	return sum
}

// measureQUIC measures one connection with frames in both directions.
func measureQUIC(ctx context.Context, rate int, settle, duration time.Duration) (quicSample, error) {
	sum, err := runTransports(ctx, 2, rate, settle, duration)
	return quicSample{
		framesPerSecond: sum.frames / sum.seconds / 2, overheadBytesPerSecond: (sum.wireBytes - sum.frames*frameBytes) / sum.seconds / 2,
		cpuShare: sum.cpuSeconds / sum.seconds / 2,
	}, err
}

// measureMesh measures a full mesh of transports, one for each member of a cell.
func measureMesh(ctx context.Context, members int, settle, duration time.Duration) (meshSample, error) {
	sum, err := runTransports(ctx, members, meshFramesPerSecond, settle, duration)
	count := float64(members)
	return meshSample{
		members: members, overheadBytesPerSecond: (sum.wireBytes - sum.frames*frameBytes) / sum.seconds / count,
		cpuShare: sum.cpuSeconds / sum.seconds / count,
	}, err
}
