package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/record"
)

// Timeouts and intervals of configuration changes.
const (
	// zoneHoldDuration is how long starts in a zone are held while its removal from service is being recorded.
	zoneHoldDuration = 30 * time.Second
	// maxInForceWait bounds how long an operator's request may wait for a revision to be in force everywhere.
	maxInForceWait = time.Minute
	// inForcePollInterval is the time between checks of which processes enforce a revision.
	inForcePollInterval = 50 * time.Millisecond
)

// maxChangeBytes bounds the body of a change, because every process keeps the newest changes.
const maxChangeBytes = 256 << 10

// postConfig records a change and answers once its position in the log has decided its outcome. A change that is
// already recorded keeps its outcome.
func (e *Entry) postConfig(ctx context.Context, c *app.RequestContext) {
	if len(c.Request.Body()) > maxChangeBytes {
		e.refuse(c, errdefs.Field("body", "is longer than 262144 bytes", "split the contract's services over several customers"), true)
		return
	}
	var change record.ConfigChange
	dec := json.NewDecoder(strings.NewReader(string(c.Request.Body())))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&change); err != nil {
		e.refuse(c, errdefs.Field("body", err.Error(), "send one change as JSON"), true)
		return
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if _, ok := e.outcome(change.ID); ok {
		e.writeChange(ctx, c, change.ID)
		return
	}
	change.Operator, change.AtMs = operatorName(c), wallMs()
	var err error
	e.read(func(s *core.State) { err = config.Check(change, s.Config) })
	if err != nil {
		e.refuse(c, err, true)
		return
	}
	if change.Zone != nil && change.Zone.Out {
		e.holdZoneAtAllEntries(change.Zone.Zone, change.Operator)
	}
	e.recordChange(ctx, c, change)
}

func (e *Entry) recordChange(ctx context.Context, c *app.RequestContext, change record.ConfigChange) {
	wait, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	offset, err := e.configWriter.Write(wait, record.Record{Config: []record.ConfigChange{change}})
	if err == nil {
		err = e.waitRecorded(wait, core.ConfigStream, e.configWriter, offset)
	}
	if err != nil {
		// An earlier copy of the change, sent through this or another entry, may have been applied meanwhile.
		if _, ok := e.outcome(change.ID); !ok {
			e.writeNotRecorded(c, err, "change", "/v1/config/changes/"+change.ID)
			return
		}
	}
	e.writeChange(ctx, c, change.ID)
}

func (e *Entry) outcome(id string) (config.Outcome, bool) {
	var out config.Outcome
	ok := false
	e.read(func(s *core.State) { out, ok = s.Config.Outcome(id) })
	return out, ok
}

// writeChange answers with the outcome of a change. It reports a change as not recorded only after a read of the log
// that was sent after the request arrived.
func (e *Entry) writeChange(ctx context.Context, c *app.RequestContext, id string) {
	out, ok := e.outcome(id)
	fresh := true
	if !ok {
		fresh = e.awaitFreshRead(ctx, core.ConfigStream)
		out, ok = e.outcome(id)
	}
	switch {
	case !ok && !fresh:
		e.refuse(c, errdefs.New(errdefs.Unavailable, "the log does not answer, so nobody can say whether change "+id+" is on record",
			"ask again later; sending the change again with the same id is safe"), false)
	case !ok:
		e.refuse(c, errdefs.New(errdefs.NotFound, "no change "+id+" is on record", "send it again with the same id if it is still wanted"), false)
	case out.Status == config.Accepted:
		httpserver.JSON(c, 200, out)
	case out.Status == config.Conflict:
		httpserver.JSON(c, 409, out)
	default:
		httpserver.JSON(c, 400, out)
	}
}

func (e *Entry) getChange(ctx context.Context, c *app.RequestContext) {
	e.writeChange(ctx, c, c.Param("id"))
}

// holdZoneAtAllEntries stops starts in the zone at all entries before the record is in force. A hold can only prevent
// starts. Every entry keeps it, so that it survives a change of decider. A request that reaches a peer after the zone is back
// in service is dropped there by its revision, which is read before the hold begins so that it is never too high.
func (e *Entry) holdZoneAtAllEntries(zone, operator string) {
	revision := e.revision()
	e.hold(zone, zoneHoldDuration, nil)
	for _, p := range e.peers.live() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
			defer cancel()
			_, _ = e.client(p.address).Hold(ctx, &control.HoldRequest{
				Zone: zone, DurationMs: uint32(zoneHoldDuration.Milliseconds()), Operator: operator, Revision: &revision,
			})
		}()
	}
}

// InForce reports which processes enforce a revision.
type InForce struct {
	Revision uint64 `json:"revision"`
	// Region is the region whose processes are covered. Processes of other regions are not known here.
	Region string `json:"region"`
	// Everyone is true when every known process enforces the revision and none is unresponsive.
	Everyone bool `json:"everyone"`
	// Behind lists processes that reported an older revision than the newest one up to Revision that concerns them.
	Behind []string `json:"behind"`
	// Unresponsive lists processes from which no recent message was received. Which revision they enforce is not known.
	Unresponsive []string `json:"silent"`
}

func (e *Entry) revision() uint64 {
	var r uint64
	e.read(func(s *core.State) { r = s.Config.Revision })
	return r
}

// getInForce reports which processes enforce a revision; with wait_ms it waits until all of them do.
func (e *Entry) getInForce(ctx context.Context, c *app.RequestContext) {
	want, wait, err := parseInForceQuery(c)
	if err != nil {
		e.refuse(c, err, false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(wait, maxInForceWait))
	defer cancel()
	t := time.NewTicker(inForcePollInterval)
	defer t.Stop()
	for {
		r := e.inForce(want)
		if r.Everyone || ctx.Err() != nil {
			httpserver.JSON(c, 200, r)
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

func parseInForceQuery(c *app.RequestContext) (revision uint64, wait time.Duration, err error) {
	var waitMs int64
	parseErr := json.Unmarshal([]byte(c.Query("revision")), &revision)
	if parseErr == nil && c.Query("wait_ms") != "" {
		parseErr = json.Unmarshal([]byte(c.Query("wait_ms")), &waitMs)
	}
	if parseErr != nil || waitMs < 0 {
		return 0, 0, errdefs.Field("revision", "or wait_ms is not a number", "pass the revision that the change was accepted with, and milliseconds")
	}
	return revision, time.Duration(waitMs) * time.Millisecond, nil
}

// inForce compares the revision that every known process reported with want. Side processes report in their
// announcements, entries in their exchanges. A side process has to report only the changes that concern it.
func (e *Entry) inForce(want uint64) InForce {
	r := InForce{Revision: want, Region: e.set.Region, Behind: []string{}, Unresponsive: []string{}}
	now := e.now()
	e.read(func(s *core.State) {
		if s.Config.Revision < want {
			r.Behind = append(r.Behind, e.set.ID)
		}
		for _, ep := range s.Members.All() {
			switch {
			case now.Mono-ep.LastHeartbeat > 3*s.Members.Interval:
				r.Unresponsive = append(r.Unresponsive, ep.ID)
			case ep.Revision < requiredRevision(s, ep, want):
				r.Behind = append(r.Behind, ep.ID)
			}
		}
	})
	for _, p := range e.peers.known() {
		switch {
		case time.Since(p.lastContact) >= peerTimeout:
			r.Unresponsive = append(r.Unresponsive, p.id)
		case p.revision < want:
			r.Behind = append(r.Behind, p.id)
		}
	}
	r.Everyone = len(r.Behind) == 0 && len(r.Unresponsive) == 0
	return r
}
