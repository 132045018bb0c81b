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
		acknowledge := worker.WatchRequest{Token: token, Seen: report.Seen, Acknowledge: []placement.TaskID{task.ID}}
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

// frameBytes is the size of the frames of the measurement, about that of a
// heartbeat with a summary.
const frameBytes = 130

// measureQUIC sends frames both ways between two transports on loopback.
func measureQUIC(ctx context.Context, rate int, length time.Duration) (quicSample, error) {
	ctx, cancel := context.WithCancel(ctx)
	var members []peer.Member
	var transports [2]*peer.Transport
	ended := make(chan error, len(transports))
	for i, name := range []string{"a", "b"} {
		transport, err := peer.New(peer.Options{
			Self: name, Region: regionNames[0], Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Secret: []byte("a secret of the capacity measurement"), Seed: 1, Receive: func(string, peer.Purpose, []byte) {},
		})
		if err != nil {
			cancel()
			return quicSample{}, err
		}
		transports[i] = transport
		members = append(members, peer.Member{Name: name, Address: transport.Address(), Region: regionNames[0]})
		go func() { ended <- transport.Run(ctx) }()
	}
	sample, err := runQUIC(transports, members, rate, length)
	cancel()
	return sample, errors.Join(err, <-ended, <-ended)
}

func runQUIC(transports [2]*peer.Transport, members []peer.Member, rate int, length time.Duration) (quicSample, error) {
	for _, transport := range transports {
		if err := transport.SetMembers(members); err != nil {
			return quicSample{}, err
		}
	}
	for waited := 0; !transports[0].Connected("b") || !transports[1].Connected("a"); waited++ {
		if waited > 5000 {
			return quicSample{}, errNotConnected
		}
		time.Sleep(time.Millisecond)
	}
	// Path probes of a new connection are not part of its steady traffic.
	time.Sleep(300 * time.Millisecond)
	before, began, start := transports[0].Counters().Peers[0], processTime(), time.Now()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for time.Since(start) < length {
		<-ticker.C
		transports[0].Send("b", peer.Control, make([]byte, frameBytes))
		transports[1].Send("a", peer.Control, make([]byte, frameBytes))
	}
	took := time.Since(start).Seconds()
	after := transports[0].Counters().Peers[0]
	frames := float64(after.Control.FramesSent - before.Control.FramesSent)
	wire := float64(after.WireSent - before.WireSent)
	return quicSample{
		frames: frames / took, overhead: (wire - frames*frameBytes) / took,
		processor: (processTime() - began).Seconds() / took / 2,
	}, nil
}
