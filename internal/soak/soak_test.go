package soak_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/job"
	"yuccalanding.example/yuccalanding/internal/loopback"
	"yuccalanding.example/yuccalanding/internal/manifest"
	"yuccalanding.example/yuccalanding/internal/soak"
	"yuccalanding.example/yuccalanding/platform"
	"yuccalanding.example/yuccalanding/platform/standin"
)

const (
	nodes             = 3
	workersPerService = 3
	workerMilliCPU    = 16000
	workerConnections = 64
	// faultDuration is how long faults are injected.
	faultDuration = 8 * time.Second
	// recoveryTimeout limits how long jobs take to end after the last fault: a
	// new leader's longest wait for an unreachable worker (16.6 s), a lease
	// (6.4 s) and the run times.
	recoveryTimeout = 40 * time.Second
	callers         = 4
	// callerTries is how often a caller sends a request: once, and four retries.
	callerTries = 5
	// minAccepted is the number of accepted jobs that a run must exceed for its
	// checks to be meaningful.
	minAccepted = 20
	// standingJobInterval is the number of a caller's jobs of which one has standing
	// tasks.
	standingJobInterval = 8
	// abandonedJobInterval is the number of a caller's jobs after which it submits one that
	// it cancels at once. Their IDs begin at abandonedJobs.
	abandonedJobInterval = 6
	abandonedJobs        = 0x1000
	// acceptTimeout limits how long after the last fault it takes until more than
	// minAccepted jobs are accepted: a caller's timeout of 3 s on a paused
	// process, and a change of leader.
	acceptTimeout = 10 * time.Second
)

var services = []string{"ledger", "review"}

// regressionSeeds maps seeds that once failed to the cause of the failure. They failed
// without a partition, and have none. TestSoak always includes them and partitionSeeds.
var regressionSeeds = map[uint64]string{
	20: "a former leader, whose last confirmation of its leadership was up to 1 s old, answered 410 for a job that the next leader had accepted",
	28: "same as 20",
	16: "two of three processes were paused, callers waited for them, and only 11 jobs were accepted; callers must submit jobs until enough are accepted",
}

// partitionSeeds maps seeds that once failed, with their partition, to the cause of the failure.
var partitionSeeds = map[uint64]string{
	7: "a former leader took leases for over that its successor renewed, and a restarted successor those of the leader before the last one",
}

// process is one entry process. Its Write method collects the process's output.
type process struct {
	t          *testing.T
	number     int
	folder     string
	settings   string
	ip         string
	mu         sync.Mutex
	command    *exec.Cmd
	logs       bytes.Buffer
	storeProxy *soak.Proxy // also in run.network
	absent     bool        // it stays killed when another fault would start it
}

func (p *process) Write(content []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.Write(content)
}

// start starts the process unless it is absent.
func (p *process) start() {
	if p.absent {
		return
	}
	command := exec.Command(filepath.Join(p.folder, "entry"))
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	command.Stdout, command.Stderr = p, p
	require.NoError(p.t, command.Start())
	p.command = command
}

// stop sends a signal that ends the process and waits until it has exited.
func (p *process) stop(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
	_ = p.command.Process.Signal(syscall.SIGCONT) // a paused process must handle the signal too
	_ = p.command.Wait()                          // returns an error for killed processes
}

type run struct {
	t         *testing.T
	random    *rand.Rand
	site      *standin.Site
	processes []*process
	workers   []*standin.Worker
	network   *network
	// losesPower means that some killed processes leave their connections to workers open.
	losesPower bool
	mu         sync.Mutex
	jobs       map[string]*outcome
}

// outcome records the responses to callers about a job.
type outcome struct {
	accepted bool
	// refused and unknown count submissions with a refusal, and those without a
	// response or with another status.
	refused int
	unknown int
	// gone holds the job's path for each 410 after it was accepted.
	gone []string
	// completedAt is when a caller was first told that it has completed; zero if none was.
	completedAt time.Time
	// standing is the number of its tasks if they run until the job is cancelled;
	// otherwise 0.
	standing int
	// cancelled means that its cancellation was answered with 200.
	cancelled bool
}

// manifestText returns a manifest. If exchanged is set, each queue has the other one's service.
func manifestText(version int, exchanged bool) string {
	terms := job.Terms{MaxAttempts: 3, Stretch: 20, Target: 20 * time.Second}
	quick, batch := terms, terms
	quick.Queue, quick.RequiresTicket, quick.AdviceTime, quick.TicketLifetime = "quick", true, time.Millisecond, 2*time.Second
	quick.AdviceTimePerWorker = 100 * time.Microsecond
	batch.Queue, batch.Priority = "batch", 2
	first, second := services[0], services[1]
	if exchanged {
		first, second = second, first
	}
	return standin.Manifest(version, []manifest.Queue{
		{Host: "soak.example", PathPrefix: "/quick/", Service: first, Terms: quick},
		{Host: "soak.example", PathPrefix: "/batch/", Service: second, Terms: batch},
	}, services, 65536)
}

// layout is the size of a run.
type layout struct {
	nodes       int
	workers     int // of each service
	peerProxies bool
}

func newRun(t *testing.T, binary string, seed uint64, l layout) *run {
	r := &run{t: t, random: rand.New(rand.NewPCG(seed, 2)), site: standin.New(), jobs: map[string]*outcome{}}
	r.losesPower = regressionSeeds[seed] == "" && partitionSeeds[seed] == ""
	t.Cleanup(r.site.Close)
	adviserAddress, err := r.site.Serve(http.HandlerFunc(standin.Adviser))
	require.NoError(t, err)
	var workerAddresses []string
	for i := range l.workers {
		for _, service := range services {
			worker, err := r.site.AddWorkerWithProxy(fmt.Sprintf("i-%s-%d", service, i), service, workerMilliCPU, 32000, 0, func(address string) (string, error) {
				workerAddresses = append(workerAddresses, address)
				return address, nil
			})
			require.NoError(t, err)
			worker.SetConnectionLimit(workerConnections)
			r.workers = append(r.workers, worker)
		}
	}
	var ips []netip.Addr
	for range l.nodes {
		ips = append(ips, loopback.New())
	}
	r.network = newNetwork(t, r.site, ips, workerAddresses, l.peerProxies)
	r.site.Configure(manifestText(1, false))
	for i := range l.nodes {
		ip, proxy := ips[i], r.network.store[i]
		p := &process{t: t, number: i, folder: filepath.Dir(binary), ip: ip.String(), storeProxy: proxy}
		p.settings = filepath.Join(t.TempDir(), "node.json")
		content := standin.SettingsFile(platform.Settings{
			Node: fmt.Sprintf("entry-%d", i), IP: ip, Zone: "z", Region: "r", FirstPeerPort: peerPort, LastPeerPort: 7395, Cores: 1,
			CallerAddress: netip.AddrPortFrom(ip, 8149), ReadyAddress: netip.AddrPortFrom(ip, 8141), AdviserAddress: netip.MustParseAddrPort(adviserAddress),
			Store: platform.StoreSettings{Address: netip.MustParseAddrPort(proxy.Address())},
			Bounds: platform.Bounds{
				MaxLease: 6 * time.Second, StopGrace: 6 * time.Second, StateRetention: 2 * time.Minute,
			},
		})
		require.NoError(t, os.WriteFile(p.settings, []byte(content), 0o600))
		r.processes = append(r.processes, p)
		p.start()
	}
	t.Cleanup(func() {
		for _, p := range r.processes {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			p.stop(syscall.SIGKILL)
			if t.Failed() {
				t.Logf("logs of entry-%d:\n%s", p.number, p.logs.String())
			}
		}
	})
	return r
}

// fault injects one fault, and returns its name and a function that ends it.
func (r *run) fault(number int) (name string, end func()) {
	p := r.processes[r.random.IntN(len(r.processes))]
	restartDelay := time.Duration(r.random.IntN(1500)) * time.Millisecond
	modes := []soak.Mode{soak.Delay, soak.Blackhole, soak.DropResponses, soak.Reset}
	mode := modes[r.random.IntN(len(modes))]
	worker := r.random.IntN(len(r.workers))
	restart := func(signal syscall.Signal) func() {
		p.stop(signal)
		return func() { time.Sleep(restartDelay); p.start() }
	}
	switch r.random.IntN(9) {
	case 0:
		if r.losesPower && restartDelay.Milliseconds()%2 == 0 {
			r.losePower(p)
			return fmt.Sprintf("entry-%d loses power", p.number), func() { time.Sleep(restartDelay); r.returnPower(p) }
		}
		return fmt.Sprintf("kill entry-%d", p.number), restart(syscall.SIGKILL)
	case 1:
		return fmt.Sprintf("stop entry-%d", p.number), restart(syscall.SIGTERM)
	case 2:
		_ = p.command.Process.Signal(syscall.SIGSTOP)
		return fmt.Sprintf("pause entry-%d", p.number), func() { _ = p.command.Process.Signal(syscall.SIGCONT) }
	case 3, 4:
		p.storeProxy.SetMode(mode)
		return fmt.Sprintf("store of entry-%d in mode %d", p.number, mode), func() { p.storeProxy.SetMode(soak.Forward) }
	case 5:
		r.network.setWorkerMode(worker, mode)
		return fmt.Sprintf("worker %d in mode %d", worker, mode), func() { r.network.setWorkerMode(worker, soak.Forward) }
	case 6:
		topic := "keyed.jobs-" + services[r.random.IntN(2)]
		partition := r.random.IntN(2)
		r.site.Store.SetUnresponsive(topic, partition, true)
		return fmt.Sprintf("partition %d of %s unresponsive", partition, topic), func() { r.site.Store.SetUnresponsive(topic, partition, false) }
	case 7:
		r.site.Store.DropResponses(3)
		return "responses to appends dropped", func() { r.site.Store.DropResponses(0) }
	default:
		for _, p := range r.processes {
			p.storeProxy.SetMode(mode)
		}
		return fmt.Sprintf("store of all entry processes in mode %d", mode), func() {
			for _, p := range r.processes {
				p.storeProxy.SetMode(soak.Forward)
			}
		}
	}
}

// call sends a caller's request and returns the status and body of the response.
// Status 0 means that there was no complete response.
func (r *run) call(client *http.Client, p *process, method, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+p.ip+":8149"+path, strings.NewReader(body))
	require.NoError(r.t, err)
	request.Host = "soak.example"
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

// submitJobs submits jobs, and queries the state of accepted ones, until stop is
// closed.
func (r *run) submitJobs(callerNumber int, seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, uint64(10+callerNumber)))
	queries := rand.New(rand.NewPCG(seed, uint64(100+callerNumber)))
	cancellations := rand.New(rand.NewPCG(seed, uint64(200+callerNumber)))
	client := &http.Client{Timeout: 3 * time.Second}
	repeats := rand.New(rand.NewPCG(seed, uint64(300+callerNumber)))
	type acceptedJob struct {
		path, body string
		result     *outcome
	}
	var accepted []acceptedJob
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+random.IntN(80)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%08x", callerNumber, i)
		path := []string{"/quick/", "/batch/"}[random.IntN(2)] + id
		runMS := 50 + random.IntN(700)
		step := job.Step{Count: 1 + random.IntN(3), Demand: job.Demand{MilliCPU: 1000, MemoryMB: 10}, Estimate: time.Duration(runMS) * time.Millisecond}
		last := step
		last.Count, last.After, last.Gang = 2, []int{0}, random.IntN(2) == 0
		body := standin.Submission(job.Spec{Text: strconv.Itoa(runMS), Steps: []job.Step{step, last}})
		result := &outcome{}
		if i%standingJobInterval == 0 {
			result.standing = step.Count
			body = standingJob(step.Count)
		}
		r.mu.Lock()
		r.jobs[path] = result
		r.mu.Unlock()
		for attempt := 0; attempt < 4 && !result.accepted; attempt++ {
			status, _ := r.call(client, r.processes[random.IntN(len(r.processes))], http.MethodPost, path, body)
			switch status {
			case http.StatusOK:
				r.mu.Lock()
				result.accepted = true
				r.mu.Unlock()
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				result.refused++
				time.Sleep(200 * time.Millisecond)
			default:
				result.unknown++
			}
		}
		if result.accepted {
			accepted = append(accepted, acceptedJob{path, body, result})
			if status, _ := r.call(client, r.processes[random.IntN(len(r.processes))], http.MethodGet, path, ""); status == http.StatusGone {
				result.gone = append(result.gone, path)
			}
		}
		if i%abandonedJobInterval == 0 {
			r.abandonJob(cancellations, fmt.Sprintf("/batch/%08x%08x", abandonedJobs+callerNumber, i))
		}
		if len(accepted) > 0 {
			earlier := accepted[queries.IntN(len(accepted))]
			_, body := r.call(client, r.processes[queries.IntN(len(r.processes))], http.MethodGet, earlier.path, "")
			earlier.result.noteState(body)
		}
		if len(accepted) > 0 && i%repeatInterval == 0 {
			again := accepted[repeats.IntN(len(accepted))]
			r.call(client, r.processes[repeats.IntN(len(r.processes))], http.MethodPost, again.path, again.body)
		}
	}
}

// abandonJob submits a standing job, leaves before it is accepted or soon after, and cancels it
// at another process.
func (r *run) abandonJob(random *rand.Rand, path string) {
	result := &outcome{}
	r.mu.Lock()
	r.jobs[path] = result
	r.mu.Unlock()
	impatient := &http.Client{Timeout: time.Duration(5+random.IntN(200)) * time.Millisecond}
	submittedAt := random.IntN(len(r.processes))
	if status, _ := r.call(impatient, r.processes[submittedAt], http.MethodPost, path, standingJob(1)); status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		result.refused++
	} else {
		result.unknown++
	}
	client := &http.Client{Timeout: 3 * time.Second}
	status, _ := r.call(client, r.processes[(submittedAt+1)%len(r.processes)], http.MethodDelete, path, "")
	result.cancelled = status == http.StatusOK
}

// noteState notes when a caller is first told that the job has completed.
func (o *outcome) noteState(body string) {
	if o.completedAt.IsZero() && strings.Contains(body, string(job.Completed)) {
		o.completedAt = time.Now()
	}
}

func runSeed(t *testing.T, binary string, seed uint64) {
	partition, absence, moves := newPartition(seed), newAbsence(seed), newQueueMoves(seed)
	r := newRun(t, binary, seed, layout{nodes: nodes, workers: workersPerService, peerProxies: partition.isolates()})
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var callersDone sync.WaitGroup
	for number := range callers {
		callersDone.Go(func() { r.submitJobs(number, seed, stop) })
	}
	var endFaults []func()
	var partitionEnded <-chan struct{}
	started := time.Now()
	for i := 0; time.Since(started) < faultDuration; i++ {
		if partitionEnded == nil && partition.kind != unpartitioned && time.Since(started) > partitionStart {
			for _, end := range endFaults {
				end()
			}
			endFaults = nil
			t.Logf("%.1fs: %s", time.Since(started).Seconds(), partition)
			partitionEnded = partition.begin(r)
		}
		absence.advance(r, time.Since(started))
		moves.advance(r, time.Since(started))
		name, end := r.fault(i)
		t.Logf("%.1fs: %s", time.Since(started).Seconds(), name)
		endFaults = append(endFaults, end)
		time.Sleep(time.Duration(300+r.random.IntN(1500)) * time.Millisecond)
		if len(endFaults) == 2 || r.random.IntN(2) == 0 { // at most two faults overlap, beside the partition
			endFaults[0]()
			endFaults = endFaults[1:]
		}
	}
	for _, end := range endFaults {
		end()
	}
	r.site.Store.DropResponses(0)
	if partitionEnded != nil {
		<-partitionEnded
	}
	absence.end(r)
	moves.advance(r, faultDuration)
	faults := impairment{started, time.Now()}
	t.Logf("%.1fs: the faults are over", time.Since(started).Seconds())
	// Callers may have waited for paused processes during most of the fault
	// duration. They keep submitting jobs until stop is closed, so wait until
	// enough are accepted.
	require.Eventually(t, func() bool { return r.accepted() > minAccepted }, acceptTimeout, 50*time.Millisecond, "too few jobs were accepted after the faults")
	close(stop)
	callersDone.Wait()
	r.check(faults)
}

// accepted returns the number of jobs accepted so far.
func (r *run) accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, result := range r.jobs {
		if result.accepted {
			count++
		}
	}
	return count
}

// buildEntry builds the program of the entry processes and returns its path.
func buildEntry(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "entry")
	output, err := exec.Command("go", "build", "-o", binary, "yuccalanding.example/yuccalanding/cmd/yuccalanding-entry").CombinedOutput()
	require.NoError(t, err, string(output))
	return binary
}

// Guards against jobs and tasks that are lost, run twice or run after a refusal
// while processes are killed, stopped, paused and cut off from the store and the
// workers.
func TestSoak(t *testing.T) {
	binary := buildEntry(t)
	seeds := []uint64{1}
	if text := os.Getenv("SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = []uint64{seed}
	}
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		count, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = nil
		for seed := range count {
			seeds = append(seeds, seed+1)
		}
	}
	for _, always := range []map[uint64]string{regressionSeeds, partitionSeeds} {
		for seed := range always {
			if !slices.Contains(seeds, seed) {
				seeds = append(seeds, seed)
			}
		}
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, binary, seed)
		})
	}
}
