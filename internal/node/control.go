package node

import (
	"context"
	"time"

	"yuccalanding.example/yuccalanding/internal/control"
	"yuccalanding.example/yuccalanding/internal/event"
	"yuccalanding.example/yuccalanding/internal/peer"
)

// runControl is the control thread. It alone touches the control state.
func (p *Process) runControl(ctx context.Context) error {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	defer p.stopLinks()
	tick := &control.Tick{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-p.inputs:
			p.step(ctx, in)
		case <-ticker.C:
			p.step(ctx, tick)
		case answer := <-p.dumps:
			answer <- p.control.Dump()
		case answer := <-p.viewRequests:
			answer <- p.control.View()
		}
	}
}

func (p *Process) step(ctx context.Context, in control.Input) {
	switch carrier := in.(type) {
	case *vmList:
		p.addresses = carrier.addresses
		in = carrier.VMListed
	case *policyRenewed:
		p.control.RenewPolicySnapshot(carrier.version, carrier.snapshot)
		return
	case *linkOpened:
		p.addLink(carrier.link)
		in = carrier.SessionOpened
	}
	for _, output := range p.control.Step(time.Now(), in) {
		p.carryOut(ctx, output)
	}
}

// carryOut executes one output. Nothing here waits for input or output.
func (p *Process) carryOut(ctx context.Context, output control.Output) {
	switch out := output.(type) {
	case *control.SendPeer:
		p.sendPeer(out)
	case *control.Reply:
		p.calls.reply(out)
	case *control.AppendRecord:
		p.records.append(ctx, out)
	case *control.RecordEvent:
		p.recordControlEvent(out)
	case *control.PolicyWanted:
		p.policyCopy(out)
	case *control.Drained:
		close(p.drained)
	default:
		p.carryOutOnWorker(ctx, output)
	}
}

func (p *Process) carryOutOnWorker(ctx context.Context, output control.Output) {
	switch out := output.(type) {
	case *control.OpenSession:
		p.openSession(ctx, out.Worker)
	case *control.CloseSession:
		p.closeSession(ctx, out)
	case *control.StartTask:
		p.metrics.starts.Inc()
		p.startTask(ctx, out)
	case *control.StopTask:
		if l := p.linkOf(out.Worker, out.Token); l != nil {
			l.act(out.ID, out.Verb)
		}
	case *control.AcknowledgeResult:
		if l := p.linkOf(out.Worker, out.Token); l != nil {
			l.acknowledge(out.ID)
		}
	}
}

func (p *Process) sendPeer(out *control.SendPeer) {
	frame, err := control.Encode(out.Message)
	if err != nil {
		p.dropped.Add(1)
		return
	}
	purpose := peer.Control
	if out.Bulk {
		purpose = peer.Bulk
	}
	p.sent.Add(1)
	// The transport counts what it drops.
	_ = p.transport.Send(out.To, purpose, frame)
}

var eventsByName = func() map[string]event.Definition {
	definitions := map[string]event.Definition{}
	for _, definition := range event.Catalogue() {
		definitions[definition.Name] = definition
	}
	return definitions
}()

func (p *Process) recordControlEvent(out *control.RecordEvent) {
	p.observed.note(out, time.Now())
	if definition, ok := eventsByName[string(out.Event)]; ok {
		p.record(definition, "subject", out.Subject, "detail", out.Detail)
	}
}

// Dump returns the control state at one instant.
func (p *Process) Dump(ctx context.Context) (control.Dump, error) {
	answer := make(chan control.Dump, 1)
	select {
	case p.dumps <- answer:
		return <-answer, nil
	case <-ctx.Done():
		return control.Dump{}, ctx.Err()
	}
}
