package capacity

import (
	"reflect"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
)

// Role is a role of a node, as the page's tables name it.
type Role string

// The roles of a node, in the order of the table of roles.
const (
	RoleFront    Role = "front"
	RoleHome     Role = "home"
	RoleOwner    Role = "owner"
	RoleMember   Role = "member"
	RoleFollower Role = "configuration follower"
)

var roles = []Role{RoleFront, RoleHome, RoleOwner, RoleMember, RoleFollower}

// The label of an input or message is the name of its type, except that worker
// reports with and without results have labels of their own.
const (
	labelTick         = "Tick"
	labelIdleReport   = "WorkerReport without results"
	labelResultReport = "WorkerReport with results"
)

// costClass is the role to which the inputs and messages of one label are charged,
// and whether their cost counts as control or work.
type costClass struct {
	label   string
	role    Role
	control bool
}

// costClasses lists every label. Control is the cost that does not depend on the
// number of requests: heartbeats, leases, sessions, summaries, lists of tasks and
// VMs, configuration and all of Tick. The rest is work. A message is charged to the
// role that sends it, with its encoding, decoding and handling.
var costClasses = []costClass{
	{labelTick, RoleMember, true},
	{"Heartbeat", RoleMember, true},
	{"Promises", RoleHome, true},
	{"ListKeys", RoleHome, true},
	{"Query", RoleHome, true},
	{"Handover", RoleHome, true},
	{"Listed", RoleOwner, true},
	{labelIdleReport, RoleOwner, true},
	{"SessionOpened", RoleOwner, true},
	{"SessionRefused", RoleOwner, true},
	{"SessionLost", RoleOwner, true},
	{"VMListed", RoleOwner, true},
	{"PolicyAccepted", RoleFollower, true},
	{"PolicyRequest", RoleFollower, true},
	{"PolicyCopy", RoleFollower, true},
	{"LogState", RoleFollower, true},
	{"Submit", RoleFront, false},
	{"Enqueue", RoleFront, false},
	{"AcknowledgeAnswer", RoleFront, false},
	{"AnswerDelivered", RoleFront, false},
	{"Answered", RoleHome, false},
	{"Refused", RoleHome, false},
	{"Assign", RoleHome, false},
	{"Recall", RoleHome, false},
	{"Redirect", RoleHome, false},
	{"RecordRead", RoleHome, false},
	{"AssignResult", RoleOwner, false},
	{"Finished", RoleOwner, false},
	{"TaskStarted", RoleOwner, false},
	{labelResultReport, RoleOwner, false},
}

var costClassByLabel = func() map[string]costClass {
	byLabel := map[string]costClass{}
	for _, c := range costClasses {
		byLabel[c.label] = c
	}
	return byLabel
}()

func typeName(value any) string { return reflect.TypeOf(value).Elem().Name() }

func labelOf(input control.Input) string {
	switch input := input.(type) {
	case *control.PeerMessage:
		return typeName(input.Message)
	case *control.WorkerReport:
		if len(input.Finished) > 0 {
			return labelResultReport
		}
		return labelIdleReport
	}
	return typeName(input)
}

// counterKey identifies a counter of a meter.
type counterKey struct {
	node  int
	label string
}

// traffic counts the messages of one type that a node sent, and those of them that
// cross the region link, by direction.
type traffic struct {
	messages, bytes         int
	linkMessages, linkBytes [2]int
}

// meter counts the steps, sent messages and log records of a cell's nodes, and the
// time that each node takes in each second of virtual time.
type meter struct {
	// elapsedBySecond holds the wall-clock time of each counter by second of virtual time.
	elapsedBySecond []map[counterKey]time.Duration
	steps           map[counterKey]int
	sent            map[counterKey]*traffic
	// records holds the number of log records by kind, and their total size in bytes
	// under the key "bytes".
	records map[string]int
}

func newMeter() *meter {
	return &meter{steps: map[counterKey]int{}, sent: map[counterKey]*traffic{}, records: map[string]int{}}
}

func (m *meter) beginSecond() {
	m.elapsedBySecond = append(m.elapsedBySecond, map[counterKey]time.Duration{})
}

func (m *meter) addTime(node int, label string, elapsed time.Duration) {
	if len(m.elapsedBySecond) > 0 {
		m.elapsedBySecond[len(m.elapsedBySecond)-1][counterKey{node, label}] += elapsed
	}
}

func (m *meter) addStep(node int, label string, elapsed time.Duration) {
	m.addTime(node, label, elapsed)
	m.steps[counterKey{node, label}]++
}

// addMessage counts a sent message. The direction is the index of the sender's
// region, or -1 if the message stays in its region.
func (m *meter) addMessage(node int, label string, size, direction int) {
	t := m.sent[counterKey{node, label}]
	if t == nil {
		t = &traffic{}
		m.sent[counterKey{node, label}] = t
	}
	t.messages++
	t.bytes += size
	if direction >= 0 {
		t.linkMessages[direction]++
		t.linkBytes[direction] += size
	}
}

// cpuShare returns a node's share of a core for the labels that include accepts, as
// the median over the seconds.
func (m *meter) cpuShare(node int, include func(costClass) bool) float64 {
	var shares []float64
	for _, second := range m.elapsedBySecond {
		var sum time.Duration
		for k, elapsed := range second {
			if k.node == node && include(costClassByLabel[k.label]) {
				sum += elapsed
			}
		}
		shares = append(shares, sum.Seconds())
	}
	return median(shares)
}

// sendRates returns the messages and payload bytes a second that a node sends, or
// all nodes together for -1, for the labels that include accepts. The link values
// hold one element for each direction.
func (m *meter) sendRates(node int, include func(costClass) bool) (messages, bytes float64, linkMessages, linkBytes [2]float64) {
	seconds := float64(max(len(m.elapsedBySecond), 1))
	for k, t := range m.sent {
		if (k.node != node && node >= 0) || !include(costClassByLabel[k.label]) {
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

// stepCost returns the steps a second of all nodes for a label, and the median over
// the seconds of the time of a step in microseconds.
func (m *meter) stepCost(label string) (steps, microseconds float64) {
	count := 0
	for k, n := range m.steps {
		if k.label == label {
			count += n
		}
	}
	var microsecondsBySecond []float64
	for _, second := range m.elapsedBySecond {
		var sum time.Duration
		for k, elapsed := range second {
			if k.label == label {
				sum += elapsed
			}
		}
		microsecondsBySecond = append(microsecondsBySecond, sum.Seconds()*1e6)
	}
	steps = float64(count) / float64(max(len(m.elapsedBySecond), 1))
	if steps == 0 {
		return 0, 0
	}
	return steps, median(microsecondsBySecond) / steps
}

func isControl(c costClass) bool { return c.control }
func isWork(c costClass) bool    { return c.label != "" && !c.control }
func anyClass(costClass) bool    { return true }
