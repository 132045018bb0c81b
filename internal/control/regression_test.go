package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"yuccalanding.example/yuccalanding/internal/membership"
	"yuccalanding.example/yuccalanding/internal/placement"
	"yuccalanding.example/yuccalanding/internal/tenure"
	"yuccalanding.example/yuccalanding/pkg/workload"
)

var (
	testRange = tenure.Range{Region: "punjab", Team: "ledger"}
	testKey   = workload.Key("019b8d2b-d883-7a0d-99b0-25d739d0f8e2")
	testTask  = placement.TaskID{Key: testKey, Attempt: 7}
)

// newHomeNode returns a node that acts as the home of testRange, and that home.
func newHomeNode(t *testing.T) (*Node, *home) {
	t.Helper()
	members := []membership.Member{
		{Name: "a", Region: "punjab", FailureDomain: "lahore", Address: netip.MustParseAddrPort("127.0.0.1:1")},
		{Name: "b", Region: "punjab", FailureDomain: "lahore", Address: netip.MustParseAddrPort("127.0.0.1:2")},
	}
	n, err := New(Options{Name: "a", Region: "punjab", FailureDomain: "lahore", Incarnation: 1, Members: members, Start: simStart})
	require.NoError(t, err)
	n.overrides.keepExpiredLease = true
	n.log.Up = true
	h := n.homeFor(testRange)
	h.leaseSince, h.tableLeaseSince = simStart, simStart
	h.recovery = recovery{firstNumber: tenure.LeaseNumber{Timestamp: 1, Node: "a"}, complete: true}
	return n, h
}

// addEntry adds a request with one task to the table of a home.
func addEntry(n *Node, h *home, mode workload.Mode, state taskState) *entry {
	e := &entry{
		request: workload.Request{Key: testKey, Team: "ledger", Kind: "check", Region: "punjab", Mode: mode, Resources: workload.Resources{MilliCPU: 1}},
		digest:  1, state: stateOf(state), durable: mode == workload.ModeJob,
	}
	e.resetTasks(simStart, state)
	e.tasks[0].id, e.tasks[0].owner = testTask, "b"
	e.addFront("b", 3)
	h.entries[testKey] = e
	n.activate(h, e)
	return e
}

func sent[M Message](outputs []Output) []M {
	var messages []M
	for _, output := range outputs {
		if peer, ok := output.(*SendPeer); ok {
			if message, ok := peer.Message.(M); ok {
				messages = append(messages, message)
			}
		}
	}
	return messages
}

func fromPeer(message Message) Input { return &PeerMessage{From: "b", Message: message} }

// Guards against an owner that reports a task as never started although it has
// lost the task or dropped its result.
func TestOwnerDistinguishesLostFromUnknown(t *testing.T) {
	n, _ := newHomeNode(t)
	n.rememberLost(testTask, "vm-1")
	other := placement.TaskID{Key: testKey, Attempt: 8}
	outputs := n.Step(simStart, fromPeer(&Query{Range: testRange, Tasks: []placement.TaskID{testTask, other}, Lease: tenure.LeaseNumber{Timestamp: 5, Node: "b"}}))
	results := sent[*AssignResult](outputs)
	require.Len(t, results, 2)
	require.Equal(t, AssignLost, results[0].State)
	require.Equal(t, "vm-1", results[0].Worker)
	require.Equal(t, AssignUnknown, results[1].State)
	require.True(t, n.owner.fenced[other])
}

// Guards against a home that starts a task again after a reply that does not
// prove that the task was not started.
func TestHomeRetriesOnlyWithProof(t *testing.T) {
	cases := map[string]struct {
		state  taskState
		result AssignResult
		want   taskState
	}{
		"unknown to the same process":    {taskAssigned, AssignResult{State: AssignUnknown, Incarnation: 4}, taskQueued},
		"unknown to a restarted owner":   {taskAssigned, AssignResult{State: AssignUnknown, Incarnation: 5}, taskAssigned},
		"unknown after a reported start": {taskRunning, AssignResult{State: AssignUnknown, Incarnation: 4}, taskInDoubt},
		"answer to a redirect":           {taskAssigned, AssignResult{State: AssignGone}, taskAssigned},
		"session with the worker ended":  {taskRunning, AssignResult{State: AssignLost, Worker: "vm-1"}, taskInDoubt},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			n, h := newHomeNode(t)
			n.members.incarnations["b"] = 4
			e := addEntry(n, h, workload.ModeRequest, test.state)
			test.result.Task, test.result.Range = testTask, testRange
			n.Step(simStart, fromPeer(&test.result))
			require.Equal(t, test.want, e.tasks[0].state)
		})
	}
}

// Guards against a list of one range's tasks that resolves tasks in doubt of
// another range.
func TestListOfOneRangeProvesNothingForOthers(t *testing.T) {
	n, h := newHomeNode(t)
	other := n.homeFor(tenure.Range{Region: "punjab", Team: "camera"})
	since := simStart.Add(time.Second)
	n.workers.byName["vm-1"] = &workerView{inList: true}
	n.Step(since, fromPeer(&Listed{
		Worker: "vm-1", Token: 9, Range: other.homeRange, Lease: tenure.LeaseNumber{Timestamp: 1, Node: "a"}, RequestedAt: since.Add(time.Millisecond),
	}))
	require.Equal(t, provenByList, n.proofOfAbsence(other, "vm-1", since))
	require.Equal(t, noProof, n.proofOfAbsence(h, "vm-1", since))
	n.Step(since.Add(time.Second), fromPeer(&Listed{Worker: "vm-1", Token: 9}))
	require.Equal(t, provenByList, n.proofOfAbsence(h, "vm-1", since), "the list of a new session covers every range")
}

// Guards against "not-run" refusals of requests that may have run.
func TestRefusalAfterAnAttemptSaysMayHaveRun(t *testing.T) {
	n, h := newHomeNode(t)
	e := addEntry(n, h, workload.ModeRequest, taskQueued)
	e.mayHaveRun = true
	n.refuseEntry(h, e, workload.Refuse(workload.CodeTooLate, 0, "late"))
	require.Equal(t, workload.MayHaveRun, e.refusal.Run)
	require.Equal(t, workload.StateUnknown, e.state)
}

// Guards against a cancellation that is reported before it is in the log: the
// next home would start the job.
func TestCanceledJobIsRefusedOnceItsEndIsRead(t *testing.T) {
	n, h := newHomeNode(t)
	e := addEntry(n, h, workload.ModeJob, taskQueued)
	e.recorded = true
	outputs := n.Step(simStart, fromPeer(&Cancel{Key: testKey, Range: testRange, Front: "b"}))
	require.Empty(t, sent[*Refused](outputs))
	record, ok := outputs[len(outputs)-1].(*AppendRecord)
	require.True(t, ok)
	refused := sent[*Refused](n.Step(simStart, &RecordRead{Ended: record.Ended}))
	require.Len(t, refused, 1)
	require.Equal(t, workload.NotRun, refused[0].Refusal.Run)
}

// Guards against a "log-down" refusal that stays in the table and is returned
// to retries.
func TestLogDownRefusalIsForgotten(t *testing.T) {
	n, h := newHomeNode(t)
	n.log.Up = false
	request := workload.Request{Key: testKey, Team: "ledger", Kind: "check", Region: "punjab", Mode: workload.ModeJob}
	for try := 1; try <= 2; try++ {
		n.enqueueNew(h, &Enqueue{Request: request, Front: "b", Try: try})
		require.Empty(t, h.entries)
	}
}

// Guards against a handover that counts as complete although a part was lost.
func TestHandoverWithLostPartIsIncomplete(t *testing.T) {
	for name, parts := range map[string][]int{"complete": {0, 1, 2}, "first lost": {1, 2}, "middle lost": {0, 2}} {
		t.Run(name, func(t *testing.T) {
			n, _ := newHomeNode(t)
			delete(n.homes, testRange)
			for _, part := range parts {
				message := &Handover{Range: testRange, Part: part}
				if part == 2 {
					message.Complete, message.Lease = true, tenure.Handover{Range: testRange, Number: tenure.LeaseNumber{Timestamp: 1, Node: "b"}}
				}
				n.Step(simStart, fromPeer(message))
			}
			require.Equal(t, name == "complete", n.homes[testRange].handoverLease != (tenure.LeaseNumber{}))
		})
	}
}

// Guards against the loss of a durable job's answer in a handover when the
// successor reads the job's end from the log before the handover arrives.
func TestEndedJobIsTakenOverAfterItsEndWasRead(t *testing.T) {
	for name, endRead := range map[string]bool{"handover first": false, "end read first": true} {
		t.Run(name, func(t *testing.T) {
			n, _ := newHomeNode(t)
			delete(n.homes, testRange)
			if endRead {
				n.rememberEnded(testKey)
			}
			request := workload.Request{Key: testKey, Team: "ledger", Kind: "check", Region: "punjab", Mode: workload.ModeJob}
			answer := workload.Answer{Key: testKey, Body: []byte("42")}
			n.Step(simStart, fromPeer(&Handover{Range: testRange, Entries: []HandoverEntry{{
				Request: request, Digest: request.Digest(), State: workload.StateEnded, Durable: true, Accepted: true, Answer: &answer,
			}}}))
			e := n.homes[testRange].entries[testKey]
			require.NotNil(t, e)
			require.Equal(t, &answer, e.answer)
			require.Equal(t, endRead, e.endRead)
		})
	}
}

// Guards against a "not-run" answer about a job whose end this node has read.
func TestWaitForEndedJobSaysMayHaveRun(t *testing.T) {
	n, h := newHomeNode(t)
	h.jobsKnown, h.completeSince = true, simStart.Add(-24*time.Hour)
	n.rememberEnded(testKey)
	n.waitForUnknownKey(h, &Enqueue{Request: workload.Request{Key: testKey, Team: "ledger", Region: "punjab"}, Front: "b", Try: 1, Wait: true})
	refused := sent[*Refused](n.outputs)
	require.Len(t, refused, 1)
	require.Equal(t, workload.MayHaveRun, refused[0].Refusal.Run)
}

// Guards against an idle queue whose few starts are taken for its start rate under load.
func TestIdleQueueExpectsNoWait(t *testing.T) {
	q := newHomeQueue()
	for second := range 20 {
		e := &entry{}
		q.push(e)
		q.drop(e)
		q.countStart(simStart.Add(time.Duration(second) * time.Second))
	}
	for range 10 {
		q.push(&entry{})
	}
	require.Zero(t, q.expectedWait(simStart.Add(21*time.Second)))
}

func newHomeQueue() *kindQueue {
	return (&home{}).queue("check", KindRule{})
}
