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

// witnessTimeout bounds one call to a witness.
const witnessTimeout = time.Second

// resignTimeout bounds the append of a resignation. If it is not recorded, another entry takes over after the timeout
// for an unresponsive decider.
const resignTimeout = 2 * time.Second

func (e *Entry) client(address string) control.Entry {
	return control.NewEntryProtobufClient(e.controlURL(address), e.rpc)
}

func (e *Entry) runAuthorityEffect(eff authority.Effect) {
	switch eff := eff.(type) {
	case authority.AppendClaim:
		e.appendClaim()
	case authority.AskPromise:
		e.askPromise(eff)
	case authority.AskRelease:
		e.askRelease(eff)
	}
}

// witnessCandidate returns a claim that names a live entry as this entry's witness, or nil if there is none.
func (e *Entry) witnessCandidate() *record.DeciderClaim {
	w, ok := e.peers.witness(e.set.Zone)
	if !ok || w.draining {
		return nil
	}
	return &record.DeciderClaim{
		Address: e.advertised(), Zone: e.set.Zone, Witness: w.id, WitnessIncarnation: w.incarnation, WitnessAddress: w.address,
	}
}

// appendClaim has at most one claim in flight, so that claims do not accumulate while the log is slow.
func (e *Entry) appendClaim() {
	if !e.claimInFlight.CompareAndSwap(false, true) {
		return
	}
	defer e.claimInFlight.Store(false)
	claim := e.witnessCandidate()
	if claim == nil {
		claim = &record.DeciderClaim{Address: e.advertised(), Zone: e.set.Zone}
	}
	_, _ = e.regionWriter.Write(context.Background(), record.Record{DeciderClaim: claim})
}

// resign ends this entry's epoch at shutdown, so that another entry can take over at once.
func (e *Entry) resign() {
	epoch, acting := uint64(0), false
	e.read(func(s *core.State) {
		acting = s.Authority.Valid(e.now())
		epoch, _ = s.Authority.Epoch()
	})
	e.step(core.ShuttingDown{})
	if !acting {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	if _, err := e.regionWriter.Write(ctx, record.Record{Batch: &record.Batch{Epoch: epoch, Resigned: true}}); err == nil {
		e.log.Log(logevent.DeciderResigned, logevent.Int("epoch", epoch))
	}
}

func (e *Entry) askPromise(eff authority.AskPromise) {
	ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
	defer cancel()
	sentAt := time.Since(e.start)
	r, err := e.client(eff.Address).Promise(ctx, &control.PromiseRequest{
		Region: e.set.Region, Epoch: eff.Epoch, WitnessIncarnation: eff.Incarnation,
	})
	if err == nil && r.Promised {
		e.step(core.PromiseReceived{Epoch: eff.Epoch, Witness: eff.Witness, Incarnation: eff.Incarnation, SentAt: sentAt})
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

// advertised returns the control address for other processes. A listener on port 0 advertises its bound port.
func (e *Entry) advertised() string {
	if e.set.Advertise != "" && e.set.Advertise != e.set.Control {
		return e.set.Advertise
	}
	return e.ControlAddress()
}
