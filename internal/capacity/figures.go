package capacity

// metric is one figure of a Sample, with the unit in which tables show it.
type metric struct {
	name string
	unit string
	// scale is the factor from the figure of a Sample to the unit.
	scale float64
	value func(*Sample) float64
}

var (
	metricControlCPU      = metric{"control, share of a core", "%", 100, func(s *Sample) float64 { return s.ControlCPU }}
	metricWorkCPU         = metric{"work, share of a core", "%", 100, func(s *Sample) float64 { return s.WorkCPU }}
	metricControlMessages = metric{"control messages sent", "1/s", 1, func(s *Sample) float64 { return s.ControlMessages }}
	metricControlBytes    = metric{"control payload sent", "B/s", 1, func(s *Sample) float64 { return s.ControlBytes }}
	metricWorkMessages    = metric{"work messages sent", "1/s", 1, func(s *Sample) float64 { return s.WorkMessages }}
	metricWorkBytes       = metric{"work payload sent", "B/s", 1, func(s *Sample) float64 { return s.WorkBytes }}
	metricLinkBytes       = metric{"control payload over the link, all nodes", "B/s", 1, func(s *Sample) float64 { return s.LinkBytes }}
	metricHeapBytes       = metric{"heap of the control thread", "KB", 1e-3, func(s *Sample) float64 { return s.HeapBytes }}
	metrics               = []metric{metricControlCPU, metricWorkCPU, metricControlMessages, metricControlBytes, metricWorkMessages, metricWorkBytes, metricLinkBytes, metricHeapBytes}
)

// fitMetric fits a line to a metric along an axis.
func (m *Measurement) fitMetric(figure metric, axis string) Line {
	var points []Point
	for _, s := range m.axes[axis] {
		size := s.Size
		points = append(points, Point{float64(*size.axisValue(axis)), figure.value(s)})
	}
	return Fit(points)
}

// extrapolate returns a metric at a size: its value at the base size and, for
// each axis, the slope times the difference to the base. It ignores costs that
// grow with the product of two axes.
func (m *Measurement) extrapolate(figure metric, size Size) float64 {
	base := m.plan.Base
	var atBase []float64
	sum := 0.0
	for _, axis := range axes {
		line := m.fitMetric(figure, axis)
		atBase = append(atBase, line.At(float64(*base.axisValue(axis))))
		sum += line.Slope * float64(*size.axisValue(axis)-*base.axisValue(axis))
	}
	return median(atBase) + sum
}

// conservativeAtTarget returns the larger of a metric's extrapolated and measured
// values at the target.
func (m *Measurement) conservativeAtTarget(figure metric) float64 {
	return max(m.extrapolate(figure, m.plan.Target), figure.value(m.target))
}

// workersPerNode returns the mean number of workers of a node at the target.
// Rendezvous hashing in small failure domains gives some nodes two or three
// times as many.
func (m *Measurement) workersPerNode() float64 {
	return float64(m.plan.Target.Workers) / float64(m.plan.Target.Members)
}

// fitQUICOverhead fits the wire bytes a second above payload of one direction of
// a connection, by frames a second.
func (m *Measurement) fitQUICOverhead() Line {
	var points []Point
	for _, s := range m.quic {
		points = append(points, Point{s.framesPerSecond, s.overheadBytesPerSecond})
	}
	return Fit(points)
}

// fitQUICCPU fits the CPU share of one transport, by frames a second.
func (m *Measurement) fitQUICCPU() Line {
	var points []Point
	for _, s := range m.quic {
		points = append(points, Point{s.framesPerSecond, s.cpuShare})
	}
	return Fit(points)
}

// fitMeshOverhead fits the wire bytes a second above payload that a node of a mesh
// sends, by members.
func (m *Measurement) fitMeshOverhead() Line {
	var points []Point
	for _, s := range m.mesh {
		points = append(points, Point{float64(s.members), s.overheadBytesPerSecond})
	}
	return Fit(points)
}

// fitMeshCPU fits the CPU share of a node of a mesh, by members.
func (m *Measurement) fitMeshCPU() Line {
	var points []Point
	for _, s := range m.mesh {
		points = append(points, Point{float64(s.members), s.cpuShare})
	}
	return Fit(points)
}

// idleWatchMedians returns the medians over the idle watches: bytes sent and
// received and CPU seconds of a watch, and heap bytes of a client and its
// stand-in.
func (m *Measurement) idleWatchMedians() (sent, received, cpuSeconds, heap float64) {
	var columns [4][]float64
	for _, s := range m.idleWatches {
		for i, value := range []float64{s.sentBytes, s.receivedBytes, s.cpuTime.Seconds(), s.heapBytes} {
			columns[i] = append(columns[i], value)
		}
	}
	return median(columns[0]), median(columns[1]), median(columns[2]), median(columns[3])
}

// nodeTraffic holds the parts of a node's control traffic, in bytes a second.
type nodeTraffic struct {
	payload, quic                   float64
	watchSent, watchReceived, tcpIP float64
}

func (t nodeTraffic) toPeers() float64 { return t.payload + t.quic }

func (t nodeTraffic) totalSent() float64 { return t.toPeers() + t.watchSent + t.tcpIP }

// nodeTraffic returns the control traffic of the busiest node at the target. The
// overhead of QUIC is that of the measured mesh, scaled from meshFramesPerSecond to
// the rate of messages of the busiest node to each other node. Every worker gets one
// idle watch a second, see watchWait.
func (m *Measurement) nodeTraffic() nodeTraffic {
	members := float64(m.plan.Target.Members)
	sent, received, _, _ := m.idleWatchMedians()
	payload := max(m.target.BusiestControlBytes, m.extrapolate(metricControlBytes, m.plan.Target))
	return nodeTraffic{
		payload: payload, quic: max(m.fitMeshOverhead().At(members), 0) * m.target.BusiestControlMessages / (members - 1) / meshFramesPerSecond,
		watchSent: sent * m.workersPerNode(), watchReceived: received * m.workersPerNode(),
		tcpIP: callHeaders * m.workersPerNode(),
	}
}

// linkTraffic returns the control traffic over the region link in the busier
// direction, in bytes a second, without and with headers.
func (m *Measurement) linkTraffic() (payload, withHeaders float64) {
	payload = m.conservativeAtTarget(metricLinkBytes)
	members := float64(m.plan.Target.Members)
	perConnection := max(m.fitMeshOverhead().At(members), 0) / (members - 1)
	return payload, payload + perConnection*m.target.LinkMessages/meshFramesPerSecond
}

// nodeCPU holds the parts of a node's CPU time for control, as shares of a core.
type nodeCPU struct{ thread, quic, watches float64 }

func (c nodeCPU) sum() float64 { return c.thread + c.quic + c.watches }

// nodeCPU returns the control share of the busiest node at the target.
// Every worker gets one idle watch a second, see watchWait. Half of a watch's CPU
// time counts, since the worker's stand-in runs in the same process and takes the
// other half.
func (m *Measurement) nodeCPU() nodeCPU {
	_, _, watchCPU, _ := m.idleWatchMedians()
	thread := max(m.target.BusiestControlCPU, m.extrapolate(metricControlCPU, m.plan.Target))
	return nodeCPU{
		thread: thread, quic: max(m.fitMeshCPU().At(float64(m.plan.Target.Members)), 0),
		watches: watchCPU / 2 * m.workersPerNode(),
	}
}

// nodeMemory holds the parts of a node's live heap, in bytes.
type nodeMemory struct{ thread, clients, configuration, jobs float64 }

func (m nodeMemory) sum() float64 { return m.thread + m.clients + m.configuration + m.jobs }

// nodeMemory returns the live heap of a node at the target, with the jobs of a day
// open.
func (m *Measurement) nodeMemory() nodeMemory {
	_, _, _, heap := m.idleWatchMedians()
	return nodeMemory{
		thread:        m.conservativeAtTarget(metricHeapBytes),
		clients:       heap * clientHeapShare * m.workersPerNode(),
		configuration: m.configurations[len(m.configurations)-1].heapBytes,
		jobs:          m.fitJobHeap().At(jobsPerDay),
	}
}

// fitJobHeap fits the heap bytes of a node that isn't the home of any of the open
// jobs, by open jobs. These are 20 times the jobs of a sample, see measureJobs.
func (m *Measurement) fitJobHeap() Line {
	var points []Point
	for _, s := range m.jobs {
		points = append(points, Point{float64(s.jobs * 20), s.openJobHeapBytes})
	}
	return Fit(points)
}

// fitJobRecords fits the number and the bytes of log records, by jobs.
func (m *Measurement) fitJobRecords() (records, bytes Line) {
	var recordPoints, bytePoints []Point
	for _, s := range m.jobs {
		recordPoints = append(recordPoints, Point{float64(s.jobs), float64(s.records)})
		bytePoints = append(bytePoints, Point{float64(s.jobs), float64(s.recordBytes)})
	}
	return Fit(recordPoints), Fit(bytePoints)
}

// fitStartTraffic fits the bytes sent to and received from workers and the CPU
// seconds, by started tasks.
func (m *Measurement) fitStartTraffic() (sent, received, cpuSeconds Line) {
	var columns [3][]Point
	for _, s := range m.starts {
		size := float64(s.tasks)
		for i, value := range []float64{s.sentBytes, s.receivedBytes, s.cpuTime.Seconds()} {
			columns[i] = append(columns[i], Point{size, value})
		}
	}
	return Fit(columns[0]), Fit(columns[1]), Fit(columns[2])
}
