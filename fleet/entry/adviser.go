package entry

import (
	"context"
	"errors"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// errNoAdviser means that a queue needs the adviser and the settings name none.
var errNoAdviser = errors.New("no adviser is configured; set services.adviser")

// askAdviser asks the adviser which of the workers may run a step, and posts the answer or the failure of the call. The state
// machine waits for one of them before it asks again for the step.
func (d *decider) askAdviser(q dispatch.Question) {
	began := time.Now()
	answer, err := d.requestTickets(q)
	outcome := "done"
	if err != nil {
		outcome = "failed"
		d.entry.log.Log(logevent.AdviserUnavailable, logevent.Str("step", q.Step), logevent.Int("workers", len(q.Workers)),
			logevent.Int("call_ms", time.Since(began).Milliseconds()), logevent.Int("timeout_ms", q.Timeout.Milliseconds()), logevent.Err(err))
	}
	d.entry.meters.adviser.Record(time.Since(began), outcome)
	d.post(func() {
		if err != nil {
			d.applyEvent(dispatch.AdviceFailed{Step: q.Step})
			return
		}
		d.applyEvent(answer)
	})
}

func (d *decider) requestTickets(q dispatch.Question) (dispatch.AdviceReceived, error) {
	if d.entry.adviser == nil {
		return dispatch.AdviceReceived{}, errNoAdviser
	}
	ids := make([]string, 0, len(q.Workers))
	for id := range q.Workers {
		ids = append(ids, id)
	}
	ctx, cancel := context.WithTimeout(d.ctx, q.Timeout)
	defer cancel()
	advice, err := d.entry.adviser.RequestTickets(ctx, q.Step, ids)
	if err != nil {
		return dispatch.AdviceReceived{}, err
	}
	answer := dispatch.AdviceReceived{Step: q.Step, Tickets: map[string]string{}, IDs: map[string]string{}, ValidMs: advice.ValidMs, Complete: advice.Complete}
	for id, text := range advice.Tickets {
		if instance, ok := q.Workers[id]; ok {
			answer.Tickets[instance], answer.IDs[instance] = text, id
		}
	}
	return answer, nil
}
