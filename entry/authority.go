package entry

import (
	"context"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
)

// witnessTimeout bounds one question to a witness.
const witnessTimeout = time.Second

func (e *Entry) client(address string) control.Entry {
	return control.NewEntryProtobufClient(e.controlURL(address), e.rpc)
}

func (e *Entry) doAuthority(eff authority.Effect) {
	switch eff := eff.(type) {
	case authority.AppendClaim:
		e.appendClaim()
	case authority.AskPromise:
		e.askPromise(eff)
	case authority.AskRelease:
		e.askRelease(eff)
	}
}

func (e *Entry) appendClaim() {
	claim := &record.DeciderClaim{Address: e.advertised(), Zone: e.set.Zone}
	if w, ok := e.peers.witness(e.set.Zone); ok {
		claim.Witness, claim.WitnessIncarnation, claim.WitnessAddress = w.id, w.incarnation, w.address
	}
	_, _ = e.regionWriter.Write(context.Background(), record.Record{DeciderClaim: claim})
}

func (e *Entry) askPromise(eff authority.AskPromise) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	sentAt := time.Since(e.start)
	r, err := e.client(eff.Address).Promise(ctx, &control.PromiseRequest{
		Region: e.set.Region, Epoch: eff.Epoch, WitnessIncarnation: eff.Incarnation,
	})
	if err == nil && r.Promised {
		e.step(core.PromiseReceived{Epoch: eff.Epoch, SentAt: sentAt})
	}
}

func (e *Entry) askRelease(eff authority.AskRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	r, err := e.client(eff.Address).Release(ctx, &control.ReleaseRequest{
		Region: e.set.Region, Epoch: eff.Epoch, WitnessIncarnation: eff.Incarnation,
	})
	if err == nil && r.Released {
		e.log.Log(logevent.WitnessReleased, logevent.Int("epoch", eff.Epoch), logevent.Str("witness", eff.Witness))
		e.step(core.ReleaseReceived{Epoch: eff.Epoch})
	}
}

// advertised returns the control address that other processes use. A listener on port 0 advertises its bound port.
func (e *Entry) advertised() string {
	if e.set.Advertise != "" && e.set.Advertise != e.set.Control {
		return e.set.Advertise
	}
	return e.ControlAddress()
}
