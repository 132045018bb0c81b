package node

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/peer"
)

// runControl is the control thread: the only goroutine that accesses the control
// state, worker sessions and worker addresses.
func (p *Process) runControl(ctx context.Context) error {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	defer p.cancelSessions()
	tick := &control.Tick{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-p.inputs:
			p.handleInput(ctx, in)
		case <-ticker.C:
			p.handleInput(ctx, tick)
		case reply := <-p.dumpRequests:
			reply <- p.control.Dump()
		case reply := <-p.viewRequests:
			reply <- p.control.View()
		}
	}
}

// handleInput applies one input to the control state and executes its outputs.
func (p *Process) handleInput(ctx context.Context, in control.Input) {
	switch input := in.(type) {
	case *vmListInput:
		p.addresses = input.addresses
		in = input.VMListed
	case *snapshotRenewedInput:
		p.control.RenewPolicySnapshot(input.version, input.snapshot)
		return
	case *sessionOpenedInput:
		p.addSession(input.workerSession)
		in = input.SessionOpened
	}
	for _, output := range p.control.Step(time.Now(), in) {
		p.execute(ctx, output)
	}
}

// execute carries out one output. It runs on the control thread and therefore never
// blocks on the network, the log or a channel.
func (p *Process) execute(ctx context.Context, output control.Output) {
	switch out := output.(type) {
	case *control.SendPeer:
		p.sendPeer(out)
	case *control.Reply:
		p.pendingCalls.reply(out)
	case *control.AppendRecord:
		p.logAdapter.append(ctx, out)
	case *control.RecordEvent:
		p.recordControlEvent(out)
	case *control.PolicyCopyReceived:
		p.queuePeerSnapshot(out)
	case *control.Drained:
		close(p.drained)
	default:
		p.executeOnWorker(ctx, output)
	}
}

// executeOnWorker carries out an output that concerns a worker.
func (p *Process) executeOnWorker(ctx context.Context, output control.Output) {
	switch out := output.(type) {
	case *control.OpenSession:
		p.openSession(ctx, out.Worker)
	case *control.CloseSession:
		p.closeSession(ctx, out)
	case *control.StartTask:
		p.metrics.starts.Inc()
		p.startTask(ctx, out)
	case *control.StopTask:
		if session := p.sessionFor(out.Worker, out.Token); session != nil {
			session.queueAction(out.ID, out.Verb)
		}
	case *control.AcknowledgeResult:
		if session := p.sessionFor(out.Worker, out.Token); session != nil {
			session.queueAcknowledgement(out.ID)
		}
	}
}

// sendPeer sends a message to another node. The message may be lost.
func (p *Process) sendPeer(out *control.SendPeer) {
	frame, err := control.Encode(out.Message)
	if err != nil {
		p.droppedPeerMessages.Add(1)
		return
	}
	purpose := peer.Control
	if out.Bulk {
		purpose = peer.Bulk
	}
	p.sentPeerMessages.Add(1)
	// The transport counts the frames that it drops.
	_ = p.transport.Send(out.To, purpose, frame)
}

// eventsByName holds the definitions of the event catalogue by name, since the
// control state refers to its events by name only.
var eventsByName = func() map[string]event.Definition {
	definitions := map[string]event.Definition{}
	for _, definition := range event.Catalogue() {
		definitions[definition.Name] = definition
	}
	return definitions
}()

// recordControlEvent logs an event of the control state and updates the alarm inputs
// that depend on it.
func (p *Process) recordControlEvent(out *control.RecordEvent) {
	p.eventState.apply(out, time.Now())
	if definition, ok := eventsByName[string(out.Event)]; ok {
		p.recordEvent(definition, "subject", out.Subject, "detail", out.Detail)
	}
}

// Dump returns the control state at one instant. It fails only with the error of
// ctx.
func (p *Process) Dump(ctx context.Context) (control.Dump, error) {
	reply := make(chan control.Dump, 1)
	select {
	case p.dumpRequests <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return control.Dump{}, ctx.Err()
	}
}
