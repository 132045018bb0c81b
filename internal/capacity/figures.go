package capacity

// metric is one figure of a sample.
type metric struct {
	name string
	unit string
	// scale converts the figure to the unit.
	scale float64
	value func(*Sample) float64
}

var (
	metricControl      = metric{"control, share of a core", "%", 100, func(s *Sample) float64 { return s.Control }}
	metricWork         = metric{"work, share of a core", "%", 100, func(s *Sample) float64 { return s.Work }}
	metricMessages     = metric{"control messages sent", "1/s", 1, func(s *Sample) float64 { return s.ControlMessages }}
	metricBytes        = metric{"control payload sent", "B/s", 1, func(s *Sample) float64 { return s.ControlBytes }}
	metricWorkMessages = metric{"work messages sent", "1/s", 1, func(s *Sample) float64 { return s.WorkMessages }}
	metricWorkBytes    = metric{"work payload sent", "B/s", 1, func(s *Sample) float64 { return s.WorkBytes }}
	metricLink         = metric{"control payload over the link, all nodes", "B/s", 1, func(s *Sample) float64 { return s.LinkBytes }}
	metricHeap         = metric{"heap of the control thread", "KB", 1e-3, func(s *Sample) float64 { return s.HeapBytes }}
	metrics            = []metric{metricControl, metricWork, metricMessages, metricBytes, metricWorkMessages, metricWorkBytes, metricLink, metricHeap}
)

// line fits a metric along an axis.
func (m *Measurement) line(of metric, axis string) Line {
	var points []Point
	for _, s := range m.axes[axis] {
		size := s.Size
		points = append(points, Point{float64(*size.axis(axis)), of.value(s)})
	}
	return Fit(points)
}

// extrapolated returns a metric at a size: the value at the base, and for each
// axis its slope times the distance. Products of two sizes are not in it.
func (m *Measurement) extrapolated(of metric, size Size) float64 {
	base := m.plan.Base
	var atBase []float64
	sum := 0.0
	for _, axis := range axes {
		line := m.line(of, axis)
		atBase = append(atBase, line.At(float64(*base.axis(axis))))
		sum += line.Slope * float64(*size.axis(axis)-*base.axis(axis))
	}
	return median(atBase) + sum
}

// larger returns the larger of the extrapolated value and the one that was
// measured at the target.
func (m *Measurement) larger(of metric) float64 {
	return max(m.extrapolated(of, m.plan.Target), of.value(m.target))
}

// workersPerNode is the mean number of workers of a node; rendezvous hashing
// inside small failure domains spreads them by up to a factor of two or three.
func (m *Measurement) workersPerNode() float64 {
	return float64(m.plan.Target.Workers) / float64(m.plan.Target.Members)
}

// quicOverhead is the line of wire bytes above payload, for one connection and
// direction, by frames a second.
func (m *Measurement) quicOverhead() Line {
	var points []Point
	for _, s := range m.quic {
		points = append(points, Point{s.frames, s.overhead})
	}
	return Fit(points)
}

func (m *Measurement) quicProcessor() Line {
	var points []Point
	for _, s := range m.quic {
		points = append(points, Point{s.frames, s.processor})
	}
	return Fit(points)
}

// meshOverhead and meshProcessor are lines of a node's figures by members.
func (m *Measurement) meshOverhead() Line {
	var points []Point
	for _, s := range m.mesh {
		points = append(points, Point{float64(s.members), s.overhead})
	}
	return Fit(points)
}

func (m *Measurement) meshProcessor() Line {
	var points []Point
	for _, s := range m.mesh {
		points = append(points, Point{float64(s.members), s.processor})
	}
	return Fit(points)
}

// watch returns the medians of the idle watches.
func (m *Measurement) watch() (sent, received, processor, heap float64) {
	var columns [4][]float64
	for _, s := range m.watches {
		for i, value := range []float64{s.sent, s.received, s.processor.Seconds(), s.heap} {
			columns[i] = append(columns[i], value)
		}
	}
	return median(columns[0]), median(columns[1]), median(columns[2]), median(columns[3])
}

// nodeBytes are the parts of a node's sent and received control traffic.
type nodeBytes struct {
	payload, quic                   float64
	watchSent, watchReceived, tcpIP float64
}

func (b nodeBytes) peers() float64 { return b.payload + b.quic }

func (b nodeBytes) sent() float64 { return b.peers() + b.watchSent + b.tcpIP }

// nodeBytes returns the control traffic of the busiest node at the target.
func (m *Measurement) nodeBytes() nodeBytes {
	members := float64(m.plan.Target.Members)
	sent, received, _, _ := m.watch()
	payload := max(m.target.BusiestControlBytes, m.extrapolated(metricBytes, m.plan.Target))
	return nodeBytes{
		payload: payload, quic: max(m.meshOverhead().At(members), 0) * m.target.BusiestControlMessages / (members - 1) / meshRate,
		watchSent: sent * m.workersPerNode(), watchReceived: received * m.workersPerNode(),
		tcpIP: callHeaders * m.workersPerNode(),
	}
}

// linkBytes returns control over the region link in the busier direction with
// all headers.
func (m *Measurement) linkBytes() (payload, withHeaders float64) {
	payload = m.larger(metricLink)
	members := float64(m.plan.Target.Members)
	perConnection := max(m.meshOverhead().At(members), 0) / (members - 1)
	return payload, payload + perConnection*m.target.LinkMessages/meshRate
}

// nodeProcessor are the parts of a node's processor time for control.
type nodeProcessor struct{ thread, quic, watches float64 }

func (p nodeProcessor) sum() float64 { return p.thread + p.quic + p.watches }

// nodeProcessor returns the control share of the busiest node at the target.
// Half of the time of a watch is counted, since the stand-in of the worker in
// the same process takes the other half.
func (m *Measurement) nodeProcessor() nodeProcessor {
	_, _, watch, _ := m.watch()
	thread := max(m.target.BusiestControl, m.extrapolated(metricControl, m.plan.Target))
	return nodeProcessor{
		thread: thread, quic: max(m.meshProcessor().At(float64(m.plan.Target.Members)), 0),
		watches: watch / 2 * m.workersPerNode(),
	}
}

// nodeMemory are the parts of a node's live heap.
type nodeMemory struct{ thread, clients, configuration, jobs float64 }

func (n nodeMemory) sum() float64 { return n.thread + n.clients + n.configuration + n.jobs }

func (m *Measurement) nodeMemory() nodeMemory {
	_, _, _, heap := m.watch()
	return nodeMemory{
		thread:        m.larger(metricHeap),
		clients:       heap * workerHeapOwnerShare * m.workersPerNode(),
		configuration: m.configurations[len(m.configurations)-1].heap,
		jobs:          m.jobHeap().At(jobsADay),
	}
}

// jobHeap is the heap of open jobs on a node that is not their home.
func (m *Measurement) jobHeap() Line {
	var points []Point
	for _, s := range m.jobs {
		points = append(points, Point{float64(s.jobs * 20), s.heapPerNodeOpen})
	}
	return Fit(points)
}

// recordsPerJob fits the records and bytes of the log by jobs.
func (m *Measurement) recordsPerJob() (records, bytes Line) {
	var ofRecords, ofBytes []Point
	for _, s := range m.jobs {
		ofRecords = append(ofRecords, Point{float64(s.jobs), float64(s.records)})
		ofBytes = append(ofBytes, Point{float64(s.jobs), float64(s.bytes)})
	}
	return Fit(ofRecords), Fit(ofBytes)
}

// perStart fits the bytes of the worker interface by started tasks.
func (m *Measurement) perStart() (sent, received, processor Line) {
	var columns [3][]Point
	for _, s := range m.starts {
		size := float64(s.tasks)
		for i, value := range []float64{s.sent, s.received, s.processor.Seconds()} {
			columns[i] = append(columns[i], Point{size, value})
		}
	}
	return Fit(columns[0]), Fit(columns[1]), Fit(columns[2])
}
