package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/admission"
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/settings"
)

const (
	// maxExplains bounds the explanations that an entry works on at once: each takes the decider some milliseconds.
	maxExplains = 1
	// explainTimeout bounds the wait for the event loop of the decider. One that is further behind should not get more work.
	explainTimeout = time.Second
	// explainForwardTimeout is how much longer an answer may take that another entry gives: connecting to it, and its timeout.
	explainForwardTimeout = peerDialTimeout + explainTimeout + peerTimeout
)

// Explanation is the answer to where a job would go if it were submitted now.
type Explanation struct {
	// Entry is the instance of the decider, which has answered, and Epoch its epoch.
	Entry string `json:"entry"`
	Epoch uint64 `json:"epoch"`
	Queue string `json:"queue"`
	// Service is the service of the queue.
	Service   string             `json:"service"`
	Admission ExplainedAdmission `json:"admission"`
	dispatch.Explanation
}

// ExplainedAdmission is the decision of the admission rule on the job.
type ExplainedAdmission struct {
	Refused bool `json:"refused"`
	// Reason explains a refusal, or why nothing is refused.
	Reason string `json:"reason"`
	// RetryAfterS is when a refused caller may retry, in seconds. It depends on the id of the job.
	RetryAfterS int `json:"retry_after_s,omitempty"`
	// WaitMs is the published wait of such work, ChainMs the declared duration of the longest chain of steps, LimitMs three
	// times the objective, in milliseconds. LimitMs is 0 if the rule was not applied.
	WaitMs  int64 `json:"wait_ms"`
	ChainMs int64 `json:"chain_ms"`
	LimitMs int64 `json:"limit_ms"`
	// BacklogAgeMs is the age of the published backlog in milliseconds; -1 if none is published.
	BacklogAgeMs int64 `json:"backlog_age_ms"`
}

// explain answers a call, or forwards it to the entry of the decider.
func (e *Entry) explain(ctx context.Context, conn net.Conn, call *link.ExplainCall) *link.Explained {
	select {
	case e.explains <- struct{}{}:
		defer func() { <-e.explains }()
	default:
		return &link.Explained{Failure: link.FailureOf(errdefs.New(errdefs.Unavailable, "the entry works on another explanation", "ask again"))}
	}
	answer, err := e.findExplanation(ctx, call)
	if budget, ok := conn.(link.Budget); err == nil && ok && !budget.Reserve(replyCopies*len(answer)) {
		answer, err = nil, errdefs.New(errdefs.Unavailable, "too many bytes are in reading", "ask again without a list of workers")
	}
	return &link.Explained{Answer: answer, Failure: link.FailureOf(err)}
}

// findExplanation returns the encoded explanation of this entry if it is the decider, or that of the decider's entry.
func (e *Entry) findExplanation(ctx context.Context, call *link.ExplainCall) ([]byte, error) {
	if d := e.currentDecider(); d != nil {
		x, err := d.explain(ctx, call)
		if err != nil {
			return nil, err
		}
		return work.Encode(x), nil
	}
	claim := e.election.decider()
	if claim == nil || claim.Instance == e.set.Instance || call.Forwarded {
		return nil, errdefs.New(errdefs.Unavailable, "no entry is the decider now", "ask again in some seconds; entries log event 820 when one takes over")
	}
	a, ok := e.relay.peerAddress(claim.Instance)
	if !ok {
		return nil, errdefs.New(errdefs.Unavailable, "the address of the decider "+claim.Instance+" is not known here yet", "ask again in some seconds, or ask that entry")
	}
	forwarded := *call
	forwarded.Forwarded = true
	answer, err := callExplain(ctx, a.Address, &forwarded, 0)
	if err != nil && (errdefs.KindOf(err) == errdefs.Unknown || errors.Is(err, errNoEntry)) {
		err = errdefs.New(errdefs.Unavailable, fmt.Sprintf("the decider %s does not answer this entry: %v", claim.Instance, err), "ask again in some seconds, or ask another entry")
	}
	return answer, err
}

// explain waits for the event loop, which answers between two events.
func (d *decider) explain(ctx context.Context, call *link.ExplainCall) (*Explanation, error) {
	cfg := d.entry.config.Load()
	if cfg == nil {
		return nil, errdefs.New(errdefs.Unavailable, "no configuration is known yet", "ask again in some seconds")
	}
	q := queueNamed(cfg, call.Queue)
	if q == nil {
		return nil, errdefs.Field("queue", call.Queue, "name a queue of the configuration")
	}
	job := call.Job
	if err := work.Check(&job); err != nil {
		return nil, err
	}
	job.Queue = *q
	x := &Explanation{Entry: d.entry.set.Instance, Epoch: d.epoch, Queue: q.Name, Service: q.Service, Admission: d.entry.explainAdmission(&job, q)}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	late := errdefs.New(errdefs.Unavailable, "the decider did not answer within "+explainTimeout.String(), "ask again; event 852 tells how far it is behind")
	err := error(late)
	answered := make(chan struct{})
	ask := func() {
		defer close(answered)
		// Explain restores the state also when it panics, so that the decider goes on.
		defer d.entry.log.Recover(logevent.ConnectionPanicked, logevent.Str("peer", "explain"))
		if ctx.Err() != nil {
			return // nobody waits any longer
		}
		var e *dispatch.Explanation
		if e, err = d.state.Explain(d.now(), dispatch.Query{Job: &job, WaitMs: x.Admission.WaitMs, Workers: call.Workers}); err == nil {
			x.Explanation = *e
		}
	}
	select {
	case d.events <- queuedEvent{time.Now(), ask}:
	case <-ctx.Done():
		return nil, late
	case <-d.ctx.Done():
		return nil, late
	}
	select {
	case <-answered:
	case <-ctx.Done():
		return nil, late
	case <-d.ctx.Done():
		return nil, late
	}
	return x, err
}

// explainAdmission applies the admission rule as to a submission.
func (e *Entry) explainAdmission(job *work.Job, q *work.Queue) ExplainedAdmission {
	b, ageMs := e.view.backlog.get()
	d := e.decideAdmission(job, q)
	x := ExplainedAdmission{Refused: d.Refused, Reason: d.Reason, RetryAfterS: d.RetryAfterS, WaitMs: d.Row.WaitMs, ChainMs: d.ChainMs, LimitMs: d.LimitMs,
		BacklogAgeMs: ageMs}
	switch {
	case b == nil:
		x.BacklogAgeMs = -1
		x.Reason = "no backlog is published: new work is not expected to wait"
	case d.Refused:
	case e.set.Admission == settings.AdmissionOff:
		x.Reason = "the setting turns refusals because of the backlog off"
	case ageMs > admission.MaxAgeMs:
		x.Reason = "the published backlog is too old to refuse by it"
	case d.LimitMs == 0:
		x.Reason = "such jobs are never refused because of the backlog"
	case d.Row.WaitMs == 0:
		x.Reason = "such work is not expected to wait"
	default:
		x.Reason = "the job would still be of use even if only half of the expected wait were true"
	}
	return x
}

// queueNamed returns the queue of a name, or nil.
func queueNamed(cfg *work.Config, name string) *work.Queue {
	for i := range cfg.Queues {
		if cfg.Queues[i].Name == name {
			return &cfg.Queues[i]
		}
	}
	return nil
}

// callExplain sends a call to the entry at an address and returns the encoded answer.
func callExplain(ctx context.Context, address string, call *link.ExplainCall, wait time.Duration) ([]byte, error) {
	reply, err := callPeer(ctx, address, link.PeerCall{Explain: call}, explainTimeout+wait)
	switch {
	case err != nil:
		return nil, err
	case reply.Explained == nil:
		return nil, errdefs.New(errdefs.Incompatible, "entry "+address+" is of an earlier version that does not explain", "ask an entry of this version, or upgrade it")
	}
	return reply.Explained.Answer, reply.Explained.Failure.Err()
}

// AskExplanation asks the entry at a peer address where a job would go if it were submitted now. Nothing is stored or sent to
// workers. Errors are of kind Incompatible if the entry or the decider is of an earlier version, Unavailable while there is no
// decider, and Invalid if the job or the name of the queue is.
func AskExplanation(ctx context.Context, address string, call *link.ExplainCall) (*Explanation, error) {
	answer, err := callExplain(ctx, address, call, explainForwardTimeout)
	if err != nil {
		return nil, err
	}
	x := &Explanation{}
	if err := work.Decode(answer, x); err != nil {
		return nil, err
	}
	return x, nil
}
