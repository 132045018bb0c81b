package capacity

import (
	"fmt"
	"math"
	"strings"

	"yuccalanding.example/yuccalanding/internal/control"
)

// Table is one generated table of the page.
type Table struct {
	// Name identifies the table in the markers around it.
	Name   string
	Header []string
	Rows   [][]string
}

func (t *Table) add(cells ...string) { t.Rows = append(t.Rows, cells) }

// Markdown returns the table in Markdown, with a delimiter row below its header.
func (t *Table) Markdown() string {
	var text strings.Builder
	delimiterRow := strings.Repeat("|---", len(t.Header)) + "|"
	fmt.Fprintf(&text, "| %s |\n%s\n", strings.Join(t.Header, " | "), delimiterRow)
	for _, row := range t.Rows {
		fmt.Fprintf(&text, "| %s |\n", strings.Join(row, " | "))
	}
	return text.String()
}

// number formats a value with three significant digits, or two below 0.0995.
func number(value float64) string {
	magnitude := math.Abs(value)
	switch {
	case magnitude >= 99.95 || magnitude == 0:
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 9.995:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 0.9995:
		return fmt.Sprintf("%.2f", value)
	case magnitude >= 0.0995:
		return fmt.Sprintf("%.3f", value)
	}
	return fmt.Sprintf("%.2g", value)
}

func percent(share float64) string { return number(share*100) + "%" }
func kilobytes(v float64) string   { return number(v/1e3) + " KB" }
func megabytes(v float64) string   { return number(v/1e6) + " MB" }

// verdict says whether a value is within an upper limit, or by how much it exceeds
// the limit.
func verdict(value, limit float64) string {
	if value <= limit {
		return "met"
	}
	return fmt.Sprintf("missed by %s%%", number((value/limit-1)*100))
}

// Tables returns all tables of the page, in their order.
func (m *Measurement) Tables() []Table {
	return []Table{
		m.limitTable(), m.limitReachedTable(), m.targetTable(), m.roleTable(), m.costClassTable(), m.slopeTable(),
		m.messageTable(), m.workerTable(), m.quicTable(), m.logTable(), m.failureTable(),
	}
}

func (m *Measurement) limitTable() Table {
	t := Table{Name: "limits", Header: []string{"limit for control", "parts at the target", "at the target", "limit", "verdict"}}
	cpu, controlTraffic, memory := m.nodeCPU(), m.nodeTraffic(), m.nodeMemory()
	t.add("processor time of a node, all control", fmt.Sprintf("control thread %s, QUIC %s, idle watches %s", percent(cpu.thread), percent(cpu.quic), percent(cpu.watches)),
		percent(cpu.sum()), percent(limitCPUShare), verdict(cpu.sum(), limitCPUShare))
	t.add("processor time of a node, control thread only", "Step, encoding and decoding", percent(cpu.thread), percent(limitCPUShare), verdict(cpu.thread, limitCPUShare))
	t.add("bytes a second sent by a node, all control", fmt.Sprintf("messages %s, QUIC, UDP and IP %s, watches with HTTP %s, TCP and IP %s",
		kilobytes(controlTraffic.payload), kilobytes(controlTraffic.quic), kilobytes(controlTraffic.watchSent), kilobytes(controlTraffic.tcpIP)), kilobytes(controlTraffic.totalSent()), kilobytes(limitBytesPerSecond), verdict(controlTraffic.totalSent(), limitBytesPerSecond))
	t.add("bytes a second sent by a node to nodes", fmt.Sprintf("messages %s, QUIC, UDP and IP %s", kilobytes(controlTraffic.payload), kilobytes(controlTraffic.quic)),
		kilobytes(controlTraffic.toPeers()), kilobytes(limitBytesPerSecond), verdict(controlTraffic.toPeers(), limitBytesPerSecond))
	t.add("bytes a second sent and received by a node, all control", "the row of all control for both directions", kilobytes(2*controlTraffic.toPeers()+controlTraffic.watchSent+controlTraffic.watchReceived+2*controlTraffic.tcpIP),
		kilobytes(limitBytesPerSecond), verdict(2*controlTraffic.toPeers()+controlTraffic.watchSent+controlTraffic.watchReceived+2*controlTraffic.tcpIP, limitBytesPerSecond))
	t.add("memory of a node, with garbage", fmt.Sprintf("%d times the live heap: control thread %s, workers' clients %s, configuration %s, a day's jobs open %s",
		heapGarbageFactor, megabytes(memory.thread), megabytes(memory.clients), megabytes(memory.configuration), megabytes(memory.jobs)),
		megabytes(heapGarbageFactor*memory.sum()), megabytes(limitMemoryBytes), verdict(heapGarbageFactor*memory.sum(), limitMemoryBytes))
	payload, linkWithHeaders := m.linkTraffic()
	t.add("control over the region link, busier direction", fmt.Sprintf("messages %s, headers %s", kilobytes(payload), kilobytes(linkWithHeaders-payload)), kilobytes(linkWithHeaders), kilobytes(limitLinkBytesPerSecond), verdict(linkWithHeaders, limitLinkBytesPerSecond))
	for _, f := range failures {
		samples := m.failures[f.name]
		peak := samples[len(samples)-1].peakLinkBytes
		t.add("control over the region link, worst second of: "+f.name, "messages without headers", kilobytes(peak), kilobytes(limitLinkBytesPerSecond), verdict(peak, limitLinkBytesPerSecond))
	}
	bound := float64(appendsPerNodePerSecond * m.plan.Target.Members)
	t.add("log appends a second, all nodes", fmt.Sprintf("grouping allows %d for each node", appendsPerNodePerSecond), "at most "+number(bound), "below "+number(limitAppendsPerSecond), verdict(bound, limitAppendsPerSecond))
	return t
}

// limitGrowth describes how the value that a limit applies to grows with the size.
type limitGrowth struct {
	name   string
	metric metric
	limit  float64
	// valueAtTarget is the value at the target. The slopes of metric are multiplied
	// by factor, for example to include garbage.
	valueAtTarget, factor float64
	// perWorker is added to the slope along the workers axis, for costs of a worker
	// that metric doesn't include.
	perWorker float64
	format    func(float64) string
}

func (m *Measurement) growths() []limitGrowth {
	cpu, controlTraffic, memory := m.nodeCPU(), m.nodeTraffic(), m.nodeMemory()
	_, linkWithHeaders := m.linkTraffic()
	sent, _, watchCPU, clientHeap := m.idleWatchMedians()
	members := float64(m.plan.Target.Members)
	return []limitGrowth{
		{"processor time, all control", metricControlCPU, limitCPUShare, cpu.sum(), 1, watchCPU / 2 / members, percent},
		{"processor time, control thread only", metricControlCPU, limitCPUShare, cpu.thread, 1, 0, percent},
		{"bytes a second sent, all control", metricControlBytes, limitBytesPerSecond, controlTraffic.totalSent(), 1, (sent + callHeaders) / members, kilobytes},
		{"bytes a second sent to nodes", metricControlBytes, limitBytesPerSecond, controlTraffic.toPeers(), 1, 0, kilobytes},
		{"memory", metricHeapBytes, limitMemoryBytes, heapGarbageFactor * memory.sum(), heapGarbageFactor, heapGarbageFactor * clientHeap * clientHeapShare / members, kilobytes},
		{"control over the region link", metricLinkBytes, limitLinkBytesPerSecond, linkWithHeaders, 1, 0, kilobytes},
	}
}

// growthSlope returns the growth along one axis.
func (m *Measurement) growthSlope(g limitGrowth, axis string) float64 {
	slope := m.fitMetric(g.metric, axis).Slope * g.factor
	if axis == "workers" {
		slope += g.perWorker
	}
	return slope
}

// limitReachedTable shows the size at which each limit is reached, extrapolated
// from the value at the target: with all axes but the members growing together, in
// multiples of the target, and with one axis growing at a time.
func (m *Measurement) limitReachedTable() Table {
	t := Table{Name: "first", Header: []string{"limit for a node", "what grows", "growth for each", "reached at", "target"}}
	for _, g := range m.growths() {
		sum := 0.0
		for _, axis := range axes {
			if size := m.plan.Target; axis != "members" {
				sum += m.growthSlope(g, axis) * float64(*size.axisValue(axis))
			}
		}
		t.add(g.name, "all but members, together", g.format(sum), reachedAt(1, g, sum), "1")
		for _, axis := range axes {
			size := m.plan.Target
			at := float64(*size.axisValue(axis))
			t.add(g.name, axis, g.format(m.growthSlope(g, axis)), reachedAt(at, g, m.growthSlope(g, axis)), number(at))
		}
	}
	return t
}

// reachedAt returns, as text, the size at which a value reaches g.limit if it is
// g.valueAtTarget at the given size and grows linearly with the given slope.
func reachedAt(size float64, g limitGrowth, slope float64) string {
	over := g.valueAtTarget > g.limit
	if slope <= 0 {
		if over {
			return "missed at every size of it"
		}
		return "not by this"
	}
	reached := size + (g.limit-g.valueAtTarget)/slope
	if reached <= 0 {
		return "missed at every size of it"
	}
	return number(reached)
}

func (m *Measurement) targetTable() Table {
	t := Table{Name: "target", Header: []string{"figure of the target", "mechanism that carries it", "measured or worked out at the target", "result"}}
	m.addLoadRows(&t)
	m.addLogRows(&t)
	for _, f := range failures {
		samples := m.failures[f.name]
		last := samples[len(samples)-1]
		t.add(f.name+", "+f.frequency, failureMechanisms[f.name],
			fmt.Sprintf("%s extra control messages, %s; every live worker owned after %.1f s; %s KB/s at the busiest node and %s KB/s over the link in the worst second; %d refusals",
				number(last.extraMessages), kilobytes(last.extraBytes), last.ownersRestoredAfter.Seconds(), number(last.peakNodeBytes/1e3), number(last.peakLinkBytes/1e3), last.refused),
			"measured")
	}
	for _, row := range m.limitTable().Rows {
		t.add("limit: "+row[0], "see the table of limits", row[2]+", limit "+row[3], row[4])
	}
	return t
}

func (m *Measurement) addLoadRows(t *Table) {
	watchSent, watchReceived, watchCPU, _ := m.idleWatchMedians()
	workersPerNode := m.workersPerNode()
	startSent, startReceived, startCPU := m.fitStartTraffic()
	rate := float64(m.plan.Target.StartsPerSecond) / float64(m.plan.Target.Members)
	t.add("650 workers", "ownership by rendezvous hashing; one session and one long poll for each worker, of its owner only",
		fmt.Sprintf("%s workers a node; idle watches send %s and receive %s a second without TCP and IP, %s of a core", number(workersPerNode), kilobytes(watchSent*workersPerNode), kilobytes(watchReceived*workersPerNode), percent(watchCPU/2*workersPerNode)), "measured")
	t.add("870 accelerators", "one more dimension of the owner's ledger; a worker has 8 or none, and no message grows with them",
		fmt.Sprintf("the measured cell has %d", m.accelerators()), "no cost of its own")
	t.add("430 task starts a second at the peak", "home queues, owner places, results go from owner to front; bulk stream apart from heartbeats",
		fmt.Sprintf("control thread %s of a core for the work, %s messages a second with %s; to workers %s sent and %s received a second without TCP and IP, %s of a core with the stand-in's part",
			percent(m.conservativeAtTarget(metricWorkCPU)), number(m.conservativeAtTarget(metricWorkMessages)), kilobytes(m.conservativeAtTarget(metricWorkBytes)),
			kilobytes(startSent.Slope*rate), kilobytes(startReceived.Slope*rate), percent(startCPU.Slope*rate)), "work, not control")
	running := m.fitMetric(metricHeapBytes, "running tasks").Slope
	t.add("2,900 running tasks", "the owner's ledger and the home's key table; leases are renewed for all tasks of a worker by its watch",
		fmt.Sprintf("%s KB of heap in the cell for each, %s MB a node", number(running*float64(m.plan.Target.Members)/1e3), number(running*float64(m.plan.Target.RunningTasks)/1e6)), "measured")
	t.add("a fifth long-running services", "as running tasks; each is a durable job, which its home starts again when it ends",
		fmt.Sprintf("%d services in the measured cell", m.plan.Target.RunningTasks/5), "measured")
	line := m.fitMetric(metricControlBytes, "teams")
	t.add("61 teams with quotas", "one range for each team and region; one request to each owner renews all ranges of a home; quotas are checked by the home",
		fmt.Sprintf("%s B/s for each team and node, %s B/s at the target", number(line.Slope), number(line.Slope*float64(m.plan.Target.Teams))), "measured")
	t.add("urgent work within 1.8 s", "kinds are ordered by urgency at home and owner; every hop acts at once, without waiting for a tick",
		fmt.Sprintf("p99 %s ms of virtual time (messages and ticks, no processor time, fleet not full)", number(m.target.UrgentWaitMS)), verdict(m.target.UrgentWaitMS, limitUrgentWaitMS))
	payload, withHeaders := m.linkTraffic()
	t.add("2 regions", "work stays in its region; heartbeats to the other region carry a summary every 2 s only",
		fmt.Sprintf("%s a second of control, %s with headers", kilobytes(payload), kilobytes(withHeaders)), verdict(withHeaders, limitLinkBytesPerSecond))
	t.add("7 failure domains", "services are spread by the owner's scoring; an owner in the worker's own domain is preferred, so that a lost domain takes its owners and workers together",
		fmt.Sprintf("the measured cell has %d and %d", domainsPerRegion[0], domainsPerRegion[1]), "no cost of its own")
}

// accelerators returns the number of accelerators that addWorker gives to the
// workers of a cell at the target.
func (m *Measurement) accelerators() int {
	count := 0
	for i := range m.plan.Target.Workers {
		if i/2%6 == 0 {
			count += 8
		}
	}
	return count
}

func (m *Measurement) addLogRows(t *Table) {
	records, bytes := m.fitJobRecords()
	t.add("7,400 jobs a day", "two records for each job, grouped into appends; every node reads them",
		fmt.Sprintf("%s records a second on average, %s MB a day, %s MB of heap a node if all were open at once",
			number(records.Slope*jobsPerDay/secondsPerDay), number(bytes.Slope*jobsPerDay/1e6), number(m.fitJobHeap().At(jobsPerDay)/1e6)), "measured")
	last := m.configurations[len(m.configurations)-1]
	inForce := 2*slowAppendTime + last.applyTime + last.enforceTime
	t.add("910 configuration changes a day in force within 6 s", "log order; every node follows the log and replays the change; heartbeats show who is behind",
		fmt.Sprintf("one record of %d B; %s ms to replay and put in force; with a wait for the append before it and 1 s per append %.2f s; snapshot for a node that is behind %s",
			last.recordBytes, number((last.applyTime+last.enforceTime).Seconds()*1e3), inForce.Seconds(), kilobytes(float64(last.snapshotBytes))), verdict(inForce.Seconds(), limitConfigurationDelay.Seconds()))
}

var failureMechanisms = map[string]string{
	failures[0].name: "the session ends and its tasks are in doubt; their homes ask all owners every 500 ms until the task leases have ended, then try the tasks again",
	failures[1].name: "suspicion after 1.5 s, other owners open the sessions after 3 s and list them to the homes",
	failures[2].name: "as VM failures; the worker list changes by less than a third, so leases go on",
	failures[3].name: "as a node's death and VM failures; a new home covers lost workers only when their task leases have ended (20 s)",
	failures[4].name: "no state is shared between regions but configuration; a cut only ends the other region's liveness",
}

// stateByRole is the state that each role keeps, for the table of roles.
var stateByRole = map[Role]string{
	RoleFront:    "open requests with their payload until the answer is delivered",
	RoleHome:     "key table, queues, quota in use, lease of each range",
	RoleOwner:    "sessions, ledger, tasks with labels, kept results, promises",
	RoleMember:   "member table, worker views, summaries of others",
	RoleFollower: "effective set, history, open durable jobs",
}

func (m *Measurement) roleTable() Table {
	t := Table{Name: "roles", Header: []string{"role", "state", "messages/s", "payload B/s", "control, % of a core", "work, % of a core", "memory at the target"}}
	members := float64(m.plan.Target.Members)
	heap := func(axis string, size int) float64 {
		return max(m.fitMetric(metricHeapBytes, axis).Slope, 0) * float64(size)
	}
	memory := map[Role]string{
		RoleFront:    megabytes(heap("open requests", m.plan.Target.OpenRequests)) + " with the home, for the open requests",
		RoleHome:     megabytes(heap("teams", m.plan.Target.Teams)+heap("running tasks", m.plan.Target.RunningTasks)) + " with the owner, for teams and running tasks",
		RoleOwner:    megabytes(heap("workers", m.plan.Target.Workers)+heap("starts a second", m.plan.Target.StartsPerSecond)) + " for workers, and results kept for 30 s",
		RoleMember:   megabytes(heap("members", m.plan.Target.Members)) + " for members (the slope by members is negative, since ranges and tasks are spread over more nodes)",
		RoleFollower: megabytes(m.nodeMemory().configuration+m.nodeMemory().jobs) + " for the set and a day's jobs",
	}
	for _, role := range roles {
		hasRole := func(c costClass) bool { return c.role == role }
		messages, bytes, _, _ := m.target.meter.sendRates(-1, hasRole)
		var controlShare, workShare float64
		for i := range m.plan.Target.Members {
			controlShare += m.target.meter.cpuShare(i, func(c costClass) bool { return hasRole(c) && c.control }) / members
			workShare += m.target.meter.cpuShare(i, func(c costClass) bool { return hasRole(c) && isWork(c) }) / members
		}
		t.add(string(role), stateByRole[role], number(messages/members), number(bytes/members), number(controlShare*100), number(workShare*100), memory[role])
	}
	return t
}

func (m *Measurement) costClassTable() Table {
	t := Table{Name: "split", Header: []string{"input or message", "role", "counts as", "steps/s a node", "µs a step"}}
	members := float64(m.plan.Target.Members)
	for _, c := range costClasses {
		kind := "work"
		if c.control {
			kind = "control"
		}
		steps, microseconds := m.target.meter.stepCost(c.label)
		t.add(c.label, string(c.role), kind, number(steps/members), number(microseconds))
	}
	return t
}

func (m *Measurement) slopeTable() Table {
	t := Table{Name: "slopes", Header: []string{"figure of a node", "by", "sizes", "measured", "slope", "intercept", "residual", "line at the target's size"}}
	for _, figure := range metrics {
		for _, axis := range axes {
			var sizes, values []string
			for _, s := range m.axes[axis] {
				size := s.Size
				sizes = append(sizes, fmt.Sprint(*size.axisValue(axis)))
				values = append(values, number(figure.value(s)*figure.scale))
			}
			line, target := m.fitMetric(figure, axis), m.plan.Target
			t.add(figure.name+", "+figure.unit, axis, strings.Join(sizes, ", "), strings.Join(values, ", "), number(line.Slope*figure.scale),
				number(line.Intercept*figure.scale), number(line.Residual*figure.scale), number(line.At(float64(*target.axisValue(axis)))*figure.scale))
		}
		t.add(figure.name+", "+figure.unit, "all", "the target", number(figure.value(m.target)*figure.scale), "", "", "", number(m.extrapolate(figure, m.plan.Target)*figure.scale))
	}
	return t
}

func (m *Measurement) messageTable() Table {
	t := Table{Name: "messages", Header: []string{"message", "counts as", "sent/s a node", "bytes each", "B/s a node", "over the link, B/s one way"}}
	members, seconds := float64(m.plan.Target.Members), float64(m.plan.MeasuredSeconds)
	for _, c := range costClasses {
		if !isMessage(c.label) {
			continue
		}
		var sum traffic
		for k, sent := range m.target.meter.sent {
			if k.label == c.label {
				sum.messages += sent.messages
				sum.bytes += sent.bytes
				sum.linkBytes[0] += sent.linkBytes[0]
				sum.linkBytes[1] += sent.linkBytes[1]
			}
		}
		kind := "work"
		if c.control {
			kind = "control"
		}
		t.add(c.label, kind, number(float64(sum.messages)/seconds/members), number(float64(sum.bytes)/float64(max(sum.messages, 1))),
			number(float64(sum.bytes)/seconds/members), number(float64(max(sum.linkBytes[0], sum.linkBytes[1]))/seconds))
	}
	return t
}

var messageLabels = func() map[string]bool {
	labels := map[string]bool{}
	for _, message := range []control.Message{
		&control.Heartbeat{}, &control.Promises{}, &control.ListKeys{}, &control.Query{}, &control.Handover{}, &control.Listed{},
		&control.PolicyRequest{}, &control.PolicyCopy{}, &control.Enqueue{}, &control.AcknowledgeAnswer{}, &control.Answered{},
		&control.Refused{}, &control.Assign{}, &control.Recall{}, &control.Redirect{}, &control.AssignResult{}, &control.Finished{},
	} {
		labels[typeName(message)] = true
	}
	return labels
}()

func isMessage(label string) bool { return messageLabels[label] }

func (m *Measurement) workerTable() Table {
	t := Table{Name: "workers", Header: []string{"traffic with workers", "sizes", "measured", "slope", "intercept", "residual"}}
	add := func(name, format string, scale float64, sizes []string, points []Point) {
		line := Fit(points)
		var values []string
		for _, p := range points {
			values = append(values, fmt.Sprintf(format, p.Value*scale))
		}
		t.add(name, strings.Join(sizes, ", "), strings.Join(values, ", "), number(line.Slope*scale), number(line.Intercept*scale), number(line.Residual*scale))
	}
	var sizes []string
	var columns [7][]Point
	for _, s := range m.idleWatches {
		sizes = append(sizes, fmt.Sprint(s.workers))
		for i, value := range []float64{s.sentBytes, s.receivedBytes, s.cpuTime.Seconds(), s.heapBytes} {
			columns[i] = append(columns[i], Point{float64(s.workers), value})
		}
	}
	add("idle watch, bytes sent with HTTP, by workers", "%.0f", 1, sizes, columns[0])
	add("idle watch, bytes received with HTTP, by workers", "%.0f", 1, sizes, columns[1])
	add("idle watch, µs of client and stand-in, by workers", "%.0f", 1e6, sizes, columns[2])
	add("open client, KB of heap of client and stand-in, by workers", "%.1f", 1e-3, sizes, columns[3])
	var tasks []string
	for _, s := range m.starts {
		tasks = append(tasks, fmt.Sprint(s.tasks))
		for i, value := range []float64{s.sentBytes, s.receivedBytes, s.cpuTime.Seconds()} {
			columns[4+i] = append(columns[4+i], Point{float64(s.tasks), value})
		}
	}
	add("start, result and acknowledgement, bytes sent with HTTP, by tasks", "%.0f", 1, tasks, columns[4])
	add("start, result and acknowledgement, bytes received with HTTP, by tasks", "%.0f", 1, tasks, columns[5])
	add("start, result and acknowledgement, µs of client and stand-in, by tasks", "%.0f", 1e6, tasks, columns[6])
	t.add("TCP and IPv4 headers of one call in each direction, worked out", "", fmt.Sprint(callHeaders), "", "", "")
	return t
}

func (m *Measurement) quicTable() Table {
	t := Table{Name: "quic", Header: []string{"one QUIC connection, one direction", "frames/s or members", "measured", "slope", "intercept", "residual"}}
	var rates, overheads, cpuShares []string
	for _, s := range m.quic {
		rates = append(rates, number(s.framesPerSecond))
		overheads = append(overheads, number(s.overheadBytesPerSecond))
		cpuShares = append(cpuShares, number(s.cpuShare*100))
	}
	line := m.fitQUICOverhead()
	t.add("wire bytes a second above payload, with QUIC, UDP and IPv4", strings.Join(rates, ", "), strings.Join(overheads, ", "), number(line.Slope), number(line.Intercept), number(line.Residual))
	line = m.fitQUICCPU()
	t.add("processor time of one transport, % of a core", strings.Join(rates, ", "), strings.Join(cpuShares, ", "), number(line.Slope*100), number(line.Intercept*100), number(line.Residual*100))
	m.addMesh(&t)
	return t
}

func (m *Measurement) addMesh(t *Table) {
	var members, overheads, cpuShares []string
	for _, s := range m.mesh {
		members = append(members, fmt.Sprint(s.members))
		overheads = append(overheads, number(s.overheadBytesPerSecond))
		cpuShares = append(cpuShares, number(s.cpuShare*100))
	}
	line := m.fitMeshOverhead()
	t.add(fmt.Sprintf("a node with all others at %d frames/s each: wire bytes a second above payload, by members", meshFramesPerSecond),
		strings.Join(members, ", "), strings.Join(overheads, ", "), number(line.Slope), number(line.Intercept), number(line.Residual))
	line = m.fitMeshCPU()
	t.add(fmt.Sprintf("a node with all others at %d frames/s each: processor time, %% of a core, by members", meshFramesPerSecond),
		strings.Join(members, ", "), strings.Join(cpuShares, ", "), number(line.Slope*100), number(line.Intercept*100), number(line.Residual*100))
}

func (m *Measurement) logTable() Table {
	t := Table{Name: "log", Header: []string{"log and configuration", "sizes", "measured", "slope", "intercept", "residual"}}
	add := func(name string, scale float64, points []Point) {
		line := Fit(points)
		var sizes, values []string
		for _, p := range points {
			sizes, values = append(sizes, number(p.Size)), append(values, number(p.Value*scale))
		}
		t.add(name, strings.Join(sizes, ", "), strings.Join(values, ", "), number(line.Slope*scale), number(line.Intercept*scale), number(line.Residual*scale))
	}
	var columns [6][]Point
	for _, s := range m.jobs {
		columns[0] = append(columns[0], Point{float64(s.jobs), float64(s.records)})
		columns[1] = append(columns[1], Point{float64(s.jobs), float64(s.recordBytes)})
		columns[2] = append(columns[2], Point{float64(s.jobs * 20), s.openJobHeapBytes})
	}
	for _, s := range m.configurations {
		columns[3] = append(columns[3], Point{float64(s.teams), float64(s.snapshotBytes)})
		columns[4] = append(columns[4], Point{float64(s.teams), s.applyTime.Seconds()})
		columns[5] = append(columns[5], Point{float64(s.teams), s.enforceTime.Seconds()})
	}
	add("records, by durable jobs", 1, columns[0])
	add("bytes of records in CBOR, by durable jobs", 1, columns[1])
	add("KB of heap of a node that is not their home, by open jobs", 1e-3, columns[2])
	add("KB of a snapshot after a day's changes, by teams", 1e-3, columns[3])
	add("µs to replay a change, by teams", 1e6, columns[4])
	add("µs of the control thread to put it in force, by teams", 1e6, columns[5])
	return t
}

func (m *Measurement) failureTable() Table {
	t := Table{Name: "failures", Header: []string{"failure", "workers", "owned again after s", "extra control messages", "extra control KB", "busiest node, KB/s", "link, KB/s", "answered", "refused"}}
	for _, f := range failures {
		var columns [8][]string
		for _, s := range m.failures[f.name] {
			for i, value := range []float64{float64(s.workers), s.ownersRestoredAfter.Seconds(), s.extraMessages, s.extraBytes / 1e3, s.peakNodeBytes / 1e3, s.peakLinkBytes / 1e3, float64(s.answered), float64(s.refused)} {
				columns[i] = append(columns[i], number(value))
			}
		}
		row := []string{f.name}
		for _, column := range columns {
			row = append(row, strings.Join(column, ", "))
		}
		t.add(row...)
	}
	return t
}
