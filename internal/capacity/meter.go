package capacity

import (
	"reflect"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
)

// Role is a role of a node.
type Role string

// The roles of a node, in the order of the page.
const (
	Front    Role = "front"
	Home     Role = "home"
	Owner    Role = "owner"
	MemberOf Role = "member"
	Follower Role = "configuration follower"
)

var roles = []Role{Front, Home, Owner, MemberOf, Follower}

// Labels of inputs that are not messages, and of two kinds of worker reports.
const (
	labelTick         = "Tick"
	labelIdleReport   = "WorkerReport without results"
	labelResultReport = "WorkerReport with results"
)

// class says to which role a label's cost goes, and whether it is control.
type class struct {
	label   string
	role    Role
	control bool
}

// classes lists every label. Control is what a node costs without regard to
// the number of requests: heartbeats, leases, sessions, summaries, lists,
// configuration, and the whole of Tick. A message counts for the role that
// sends it; its encoding, decoding and handling count together.
var classes = []class{
	{labelTick, MemberOf, true},
	{"Heartbeat", MemberOf, true},
	{"Promises", Home, true},
	{"ListKeys", Home, true},
	{"Query", Home, true},
	{"Handover", Home, true},
	{"Listed", Owner, true},
	{labelIdleReport, Owner, true},
	{"SessionOpened", Owner, true},
	{"SessionRefused", Owner, true},
	{"SessionLost", Owner, true},
	{"VMListed", Owner, true},
	{"PolicyAccepted", Follower, true},
	{"PolicyRequest", Follower, true},
	{"PolicyCopy", Follower, true},
	{"LogState", Follower, true},
	{"Submit", Front, false},
	{"Enqueue", Front, false},
	{"AcknowledgeAnswer", Front, false},
	{"AnswerDelivered", Front, false},
	{"Answered", Home, false},
	{"Refused", Home, false},
	{"Assign", Home, false},
	{"Recall", Home, false},
	{"Redirect", Home, false},
	{"RecordRead", Home, false},
	{"AssignResult", Owner, false},
	{"Finished", Owner, false},
	{"TaskStarted", Owner, false},
	{labelResultReport, Owner, false},
}

var classOf = func() map[string]class {
	byLabel := map[string]class{}
	for _, c := range classes {
		byLabel[c.label] = c
	}
	return byLabel
}()

func typeName(value any) string { return reflect.TypeOf(value).Elem().Name() }

func labelOf(in control.Input) string {
	switch in := in.(type) {
	case *control.PeerMessage:
		return typeName(in.Message)
	case *control.WorkerReport:
		if len(in.Finished) > 0 {
			return labelResultReport
		}
		return labelIdleReport
	}
	return typeName(in)
}

// key names what one counter of a meter is about.
type key struct {
	node  int
	label string
}

// traffic counts messages of one type, and those of them that cross the region
// link in either direction.
type traffic struct {
	messages, bytes         int
	linkMessages, linkBytes [2]int
}

// meter counts what nodes send and the time that they take, by virtual second.
type meter struct {
	seconds []map[key]time.Duration
	steps   map[key]int
	sent    map[key]*traffic
	records map[string]int
}

func newMeter() *meter {
	return &meter{steps: map[key]int{}, sent: map[key]*traffic{}, records: map[string]int{}}
}

func (m *meter) beginSecond() { m.seconds = append(m.seconds, map[key]time.Duration{}) }

func (m *meter) spent(node int, label string, took time.Duration) {
	if len(m.seconds) > 0 {
		m.seconds[len(m.seconds)-1][key{node, label}] += took
	}
}

func (m *meter) stepped(node int, label string, took time.Duration) {
	m.spent(node, label, took)
	m.steps[key{node, label}]++
}

// message counts a sent message; direction is -1 inside a region and else the
// index of the sender's region.
func (m *meter) message(node int, label string, size, direction int) {
	t := m.sent[key{node, label}]
	if t == nil {
		t = &traffic{}
		m.sent[key{node, label}] = t
	}
	t.messages++
	t.bytes += size
	if direction >= 0 {
		t.linkMessages[direction]++
		t.linkBytes[direction] += size
	}
}

// processorShare returns the median over the seconds of one node's share of a
// core, for the labels that include accepts.
func (m *meter) processorShare(node int, include func(class) bool) float64 {
	var shares []float64
	for _, second := range m.seconds {
		var sum time.Duration
		for k, took := range second {
			if k.node == node && include(classOf[k.label]) {
				sum += took
			}
		}
		shares = append(shares, sum.Seconds())
	}
	return median(shares)
}

// perSecond sums the traffic of one node, or of all for -1, by second.
func (m *meter) perSecond(node int, include func(class) bool) (messages, bytes float64, linkMessages, linkBytes [2]float64) {
	seconds := float64(max(len(m.seconds), 1))
	for k, t := range m.sent {
		if (k.node != node && node >= 0) || !include(classOf[k.label]) {
			continue
		}
		messages += float64(t.messages) / seconds
		bytes += float64(t.bytes) / seconds
		for direction := range 2 {
			linkMessages[direction] += float64(t.linkMessages[direction]) / seconds
			linkBytes[direction] += float64(t.linkBytes[direction]) / seconds
		}
	}
	return messages, bytes, linkMessages, linkBytes
}

// stepCost returns the steps a second of all nodes under a label and the
// median over the seconds of the time of one, in microseconds.
func (m *meter) stepCost(label string) (steps, micros float64) {
	count := 0
	for k, n := range m.steps {
		if k.label == label {
			count += n
		}
	}
	var costs []float64
	for _, second := range m.seconds {
		var sum time.Duration
		for k, took := range second {
			if k.label == label {
				sum += took
			}
		}
		costs = append(costs, sum.Seconds()*1e6)
	}
	steps = float64(count) / float64(max(len(m.seconds), 1))
	if steps == 0 {
		return 0, 0
	}
	return steps, median(costs) / steps
}

func isControl(c class) bool { return c.control }
func isWork(c class) bool    { return c.label != "" && !c.control }
func anyClass(class) bool    { return true }
