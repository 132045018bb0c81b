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

// Sizes of headers, for traffic whose counters hold payload only.
const (
	// tcpHeaders is an IPv4 and a TCP header with timestamps. A call to a
	// worker is counted as one segment and one acknowledgement each way.
	tcpHeaders = 20 + 32
	// callHeaders is what one call adds in each direction.
	callHeaders = 2 * tcpHeaders
	// labelBytes is about the size of an encoded control.Assignment.
	labelBytes = 180
)

var errNotConnected = errors.New("the two transports did not connect within 5 s")

// processTime returns the processor time of the whole process.
func processTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// workerSample is the traffic with real stand-ins of workers.
type workerSample struct {
	workers int
	// sent and received are payload bytes of one idle watch, with HTTP headers.
	sent, received float64
	// processor is the time of one watch, of the client and the stand-in.
	processor time.Duration
	// heap is that of one worker's client with its connections, and of the
	// stand-in's side of them.
	heap float64
}

// fleet is a number of stand-ins with an open session each.
type fleet struct {
	served  *workervm.Fleet
	stop    context.CancelFunc
	clients []*worker.Client
	tokens  []worker.Token
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
	served, err := workervm.Serve(ctx, options)
	if err != nil {
		stop()
		return nil, err
	}
	f := &fleet{served: served, stop: stop}
	for _, address := range served.Addresses {
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
	return <-f.served.Done
}

func (f *fleet) bytes() (sent, received float64) {
	for _, client := range f.clients {
		s, r := client.Bytes()
		sent, received = sent+float64(s), received+float64(r)
	}
	return sent, received
}

// measureIdleWatches lets every client watch an idle worker several times.
func measureIdleWatches(ctx context.Context, workers, rounds int, wait time.Duration) (workerSample, error) {
	heapBefore := heapInUse()
	f, err := newFleet(ctx, workers)
	if err != nil {
		return workerSample{}, err
	}
	sent, received := f.bytes()
	began := processTime()
	var failed atomic.Int64
	var group sync.WaitGroup
	for i, client := range f.clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for range rounds {
				if _, err := client.Watch(ctx, worker.WatchRequest{Token: f.tokens[i], Wait: wait}); err != nil {
					failed.Add(1)
				}
			}
		}()
	}
	group.Wait()
	took := processTime() - began
	sentNow, receivedNow := f.bytes()
	watches := float64(workers * rounds)
	sample := workerSample{
		workers: workers, sent: (sentNow - sent) / watches, received: (receivedNow - received) / watches,
		processor: took / time.Duration(workers*rounds),
		heap:      (float64(heapInUse()) - float64(heapBefore)) / float64(workers),
	}
	runtime.KeepAlive(f)
	if err := f.close(); err != nil {
		return sample, err
	}
	if count := failed.Load(); count > 0 {
		return sample, fmt.Errorf("%d idle watches failed", count)
	}
	return sample, nil
}

// startSample is the traffic of tasks that are started one by one.
type startSample struct {
	tasks          int
	sent, received float64
	calls          int
	processor      time.Duration
}

// measureStarts starts tasks on one worker, takes their results and
// acknowledges them; the bytes are those of all tasks.
func measureStarts(ctx context.Context, tasks int) (startSample, error) {
	f, err := newFleet(ctx, 1)
	if err != nil {
		return startSample{}, err
	}
	client, token := f.clients[0], f.tokens[0]
	sent, received := f.bytes()
	began := processTime()
	sample := startSample{tasks: tasks}
	for i := range tasks {
		task := worker.StartTask{
			ID:        placement.TaskID{Key: workload.Key(fmt.Sprintf("01890000-0000-7000-8000-%012d", i)), Attempt: 1_700_000_000_000},
			Resources: workload.Resources{MilliCPU: 1000, MemoryMB: 1024}, Connections: 1,
			Label: make([]byte, labelBytes), Payload: fmt.Appendf(nil, `{"run-ms":1,"pad":"%0*d"}`, payloadBytes-20, 0),
		}
		if _, err := client.Start(ctx, token, []worker.StartTask{task}); err != nil {
			return sample, errors.Join(err, f.close())
		}
		report, err := client.Watch(ctx, worker.WatchRequest{Token: token, Wait: watchWait})
		if err != nil {
			return sample, errors.Join(err, f.close())
		}
		acknowledge := worker.WatchRequest{Token: token, ResultCursor: report.ResultCursor, Acknowledge: []placement.TaskID{task.ID}}
		if _, err := client.Watch(ctx, acknowledge); err != nil {
			return sample, errors.Join(err, f.close())
		}
		sample.calls += 3
	}
	sample.processor = processTime() - began
	sentNow, receivedNow := f.bytes()
	sample.sent, sample.received = sentNow-sent, receivedNow-received
	return sample, f.close()
}

// quicSample is the traffic of one connection between two transports, in one
// direction, at a rate of frames.
type quicSample struct {
	// frames a second that were sent, and the wire bytes a second above their
	// payload, with QUIC, UDP and IPv4 headers and acknowledgements.
	frames, overhead float64
	// processor is the share of a core of one transport.
	processor float64
}

// meshSample is the traffic and processor time of one of several transports
// that are all connected and exchange frames at meshRate on each connection.
type meshSample struct {
	members int
	// overhead is wire bytes a second above payload that a node sends.
	overhead, processor float64
}

// meshRate is about the control frames a second that a node sends to each of
// the others at the target: four heartbeats and two lease messages.
const meshRate = 6

// frameBytes is the size of the frames of the measurement, about that of a
// heartbeat with a summary.
const frameBytes = 130

// exchange is what transports sent in a time, all together.
type exchange struct {
	frames, wire float64
	seconds      float64
	processor    float64
}

// runTransports connects transports on loopback and has each send frames to
// each of the others at a rate.
func runTransports(ctx context.Context, count, rate int, settle, length time.Duration) (exchange, error) {
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
			return exchange{}, err
		}
		transports = append(transports, transport)
		members = append(members, peer.Member{Name: name, Address: transport.Address(), Region: regionNames[0]})
		go func() { ended <- transport.Run(ctx) }()
	}
	result, err := sendFrames(transports, members, rate, settle, length)
	cancel()
	for range transports {
		err = errors.Join(err, <-ended)
	}
	return result, err
}

func sendFrames(transports []*peer.Transport, members []peer.Member, rate int, settle, length time.Duration) (exchange, error) {
	for _, transport := range transports {
		if err := transport.SetMembers(members); err != nil {
			return exchange{}, err
		}
	}
	for waited := 0; !allConnected(transports); waited++ {
		if waited > 5000 {
			return exchange{}, errNotConnected
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(settle)
	before, began, start := countSent(transports), processTime(), time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for time.Since(start) < length {
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
	result.wire -= before.wire
	result.seconds, result.processor = time.Since(start).Seconds(), (processTime() - began).Seconds()
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

func countSent(transports []*peer.Transport) exchange {
	var sum exchange
	for _, transport := range transports {
		for _, c := range transport.Counters().Peers {
			sum.frames += float64(c.Control.FramesSent)
			sum.wire += float64(c.WireSent)
		}
	}
	return sum
}

// measureQUIC sends frames both ways between two transports.
func measureQUIC(ctx context.Context, rate int, settle, length time.Duration) (quicSample, error) {
	sum, err := runTransports(ctx, 2, rate, settle, length)
	return quicSample{
		frames: sum.frames / sum.seconds / 2, overhead: (sum.wire - sum.frames*frameBytes) / sum.seconds / 2,
		processor: sum.processor / sum.seconds / 2,
	}, err
}

// measureMesh exchanges frames between as many transports as the cell has nodes.
func measureMesh(ctx context.Context, members int, settle, length time.Duration) (meshSample, error) {
	sum, err := runTransports(ctx, members, meshRate, settle, length)
	count := float64(members)
	return meshSample{
		members: members, overhead: (sum.wire - sum.frames*frameBytes) / sum.seconds / count,
		processor: sum.processor / sum.seconds / count,
	}, err
}
