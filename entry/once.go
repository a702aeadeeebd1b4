package entry

import (
	"context"
	"errors"
	"net/url"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
)

// Limits of requests that may run at most once.
const (
	// maxKeptBodyBytes bounds a response body that is recorded for repeats.
	maxKeptBodyBytes = 64 << 10
	// answerWriteTimeout bounds how long a caller waits until its response is recorded. The response is sent even if
	// recording fails.
	answerWriteTimeout = 250 * time.Millisecond
	// replyMargin is the part of a caller's deadline that is reserved for responding that a claim is still in progress.
	replyMargin = 100 * time.Millisecond
	// minClaimTimeout and maxClaimTimeout bound the time for recording a claim. Between them it gets half of the time left
	// until the caller's deadline: with 1 s for all, a log that takes 700 ms a call recorded claims that were then refused.
	minClaimTimeout, maxClaimTimeout = time.Second, 5 * time.Second
	// logDownAfter is the age of the newest successful read from which the log counts as down. Reads of the region's stream
	// take up to 600 ms when there are no new records.
	logDownAfter = 1500 * time.Millisecond
)

// serveOnce appends a claim of the request to the log and runs the request only if the claim is the first of its key.
func (e *Entry) serveOnce(ctx context.Context, c *app.RequestContext, cl *call) {
	digest := requestDigest(c, cl)
	if known, ok := e.lookupClaim(cl); ok {
		e.replayAnswer(c, cl, e.awaitAnswer(ctx, cl, known, digest), digest)
		return
	}
	if err := e.checkKeyQuota(cl); err != nil {
		e.refuseUnclaimed(c, err)
		return
	}
	nonce := e.nonce.Add(1)
	won, err := e.claimRequest(ctx, cl, nonce, digest)
	if err != nil {
		e.refuseUnclaimed(c, err)
		return
	}
	if !won {
		known, _ := e.lookupClaim(cl)
		e.replayAnswer(c, cl, e.awaitAnswer(ctx, cl, known, digest), digest)
		return
	}
	// The claim may have been read back only after the caller's deadline, for example because the process was paused.
	r := result{notRun: true, err: deadlineError()}
	if time.Now().Before(cl.deadline) {
		r = e.tryEndpoints(ctx, c, cl, false)
	}
	if r.err == nil {
		r.dropUnrecordedHeaders()
	}
	e.recordAnswer(cl, nonce, r)
	if r.pending != nil {
		go e.resolveOutcome(cl, nonce, r.pending)
	}
	e.writeResult(c, cl, r)
}

// awaitAnswer waits until shortly before the caller's deadline for the answer of a claim whose entry is live. Without
// the wait, a repeat that reaches another entry just after the first response would get "in progress", because that entry
// has not read the record of the answer yet.
func (e *Entry) awaitAnswer(ctx context.Context, cl *call, known claims.Claim, digest uint64) claims.Claim {
	if known.State != lifecycle.RequestClaimed || known.Digest != digest || e.logDown() ||
		!e.isEntryLive(known.Writer, known.Incarnation) {
		return known
	}
	ctx, cancel := context.WithDeadline(ctx, cl.deadline.Add(-replyMargin))
	defer cancel()
	_ = e.waitFor(ctx, func(s *core.State) bool {
		k, ok := s.Claims.Lookup(cl.customer, cl.key)
		return !ok || k.State != lifecycle.RequestClaimed
	})
	if current, ok := e.lookupClaim(cl); ok {
		return current
	}
	return known
}

// dropUnrecordedHeaders keeps only the header that is recorded, so that every repeat gets the same response as the first
// request.
func (r *result) dropUnrecordedHeaders() {
	r.header = [][2]string{{"Content-Type", r.contentType()}}
}

func requestDigest(c *app.RequestContext, cl *call) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(cl.method), {0}, []byte(cl.service + cl.path), {0}, c.Request.Body()} {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

func (e *Entry) lookupClaim(cl *call) (claims.Claim, bool) {
	var claim claims.Claim
	ok := false
	e.read(func(s *core.State) {
		if k, has := s.Claims.Lookup(cl.customer, cl.key); has {
			claim, ok = *k, true
		}
	})
	if ok && (claim.State == lifecycle.RequestClaimed || claim.State == lifecycle.RequestUnknown) {
		if kept, has := e.unrecorded.get(claim.Customer, claim.Key, claim.Nonce); has {
			kept.apply(&claim)
		}
	}
	return claim, ok
}

// logDown reports whether claims cannot be read, or neither the claims nor the region's stream was read recently. The
// configuration is left out, because it may be on another log.
func (e *Entry) logDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	newestRead := max(e.streamStatuses[core.ClaimStream].newestRead, e.streamStatuses[core.RegionStream].newestRead)
	return e.streamStatuses[core.ClaimStream].readsFailing || e.now().Mono-newestRead > logDownAfter
}

// claimRequest appends a claim and waits until it is read back. It reports whether the claim is the first of its key. After
// an error the request certainly does not run.
func (e *Entry) claimRequest(ctx context.Context, cl *call, nonce, digest uint64) (bool, error) {
	if e.logDown() {
		return false, notClaimedError("the log is down, so the request was not run")
	}
	ctx, cancel := context.WithTimeout(ctx, min(max(time.Until(cl.deadline)/2, minClaimTimeout), maxClaimTimeout))
	defer cancel()
	rc := record.RequestClaim{Customer: cl.customer, Key: cl.key, Nonce: nonce, Digest: digest}
	e.logReaders[core.ClaimStream].expedite(claimActiveWindow)
	offset, err := e.claimWriter.Write(ctx, record.Record{RequestClaims: []record.RequestClaim{rc}})
	if err == nil {
		err = e.waitFor(ctx, func(s *core.State) bool { return s.Claims.Next > offset })
	}
	if err != nil {
		if !errors.Is(err, external.ErrNotAppended) {
			// The append may still take effect. This entry never runs the request, and records that.
			go e.recordAnswer(cl, nonce, result{notRun: true, err: err})
		}
		return false, notClaimedError("the log did not record the request in time, so it was not run")
	}
	if e.ignoreClaim {
		return true, nil
	}
	known, _ := e.lookupClaim(cl)
	return known.Nonce == nonce && known.Writer == e.set.ID && known.Incarnation == e.incarnation, nil
}

func notClaimedError(message string) error {
	return errdefs.New(errdefs.Unavailable, message,
		"send it again with the same key after Retry-After; if the answer then says that it was not run, use a new key")
}

// recordAnswer records the outcome of a claimed request. Until the record is read back, repeats at this entry are answered
// from memory.
func (e *Entry) recordAnswer(cl *call, nonce uint64, r result) {
	a := record.RequestAnswer{Customer: cl.customer, Key: cl.key, Nonce: nonce}
	switch {
	case r.err != nil && r.notRun:
		a.NotRun = true
	case r.err != nil:
		a.Unknown = true
	default:
		a.Status, a.ContentType = r.status, r.contentType()
		if len(r.body) <= maxKeptBodyBytes && e.bodyFits(cl, len(r.body)) {
			a.Body = r.body
		} else {
			a.TooLarge = true
		}
	}
	e.unrecorded.put(a)
	ctx, cancel := context.WithTimeout(context.Background(), answerWriteTimeout)
	defer cancel()
	if _, err := e.claimWriter.Write(ctx, record.Record{RequestAnswers: []record.RequestAnswer{a}}); err != nil {
		e.log.Log(logevent.RequestNotWritten, logevent.Str("customer", cl.customer), logevent.Str("key", cl.key), logevent.Err(err))
	}
}

// replayAnswer responds to a repeat of a claimed request from the recorded claim.
func (e *Entry) replayAnswer(c *app.RequestContext, cl *call, known claims.Claim, digest uint64) {
	c.Response.Header.Set(control.HeaderRequestID, cl.id)
	if known.Digest != digest {
		e.refuse(c, errdefs.Field(control.HeaderKey, "was used for another request", "use a new key for a new request"), true)
		return
	}
	switch known.State {
	case lifecycle.RequestAnswered:
		if known.TooLarge {
			e.refuse(c, errdefs.New(errdefs.Expired, "the request with this key ran once and was answered; the answer was too large to keep",
				"look the result up at the service; the request is not run again"), false)
			return
		}
		c.Response.Header.Set("X-Replayed", "true")
		c.SetStatusCode(known.Status)
		c.Response.Header.SetContentType(known.ContentType)
		c.Response.SetBody(known.Body)
	case lifecycle.RequestNotRun:
		e.refuse(c, errdefs.New(errdefs.Unavailable, "the request with this key was not run", "send it again with a new key"), true)
	case lifecycle.RequestExpired:
		e.refuse(c, errdefs.New(errdefs.Expired, "the answer for this key has expired; the request was not run again",
			"use a new key for a new request"), false)
	default:
		p := problemOf(errdefs.New(errdefs.Conflict, "the request with this key is in progress or its outcome is unknown",
			"ask GET "+requestPath(cl.key)+"; it never runs again"))
		p.Outcome, p.OutcomePath = "unknown", requestPath(cl.key)
		setRetryAfter(c)
		httpserver.JSON(c, 409, p)
	}
}

func requestPath(key string) string { return "/v1/requests/" + url.PathEscape(key) }

// writeUnknown responds that the request may have run.
func (e *Entry) writeUnknown(c *app.RequestContext, cl *call, err error) {
	p := problemOf(err)
	p.Outcome = "unknown"
	c.Set(outcomeKey, "unknown")
	if cl.key != "" {
		p.OutcomePath = requestPath(cl.key)
	}
	status := 502
	if !time.Now().Before(cl.deadline) {
		status = 504
	}
	httpserver.JSON(c, status, p)
}

// getRequest returns the outcome of a claimed request.
func (e *Entry) getRequest(_ context.Context, c *app.RequestContext) {
	customer, err := e.customerOf(c)
	if err != nil {
		e.refuse(c, err, false)
		return
	}
	e.writeRequestAccount(c, customer, c.Param("key"))
}

// requestAccount is the state of a claimed request with a description.
type requestAccount struct {
	claims.Claim
	// Account describes the state in words.
	Account string `json:"account"`
}

func (e *Entry) writeRequestAccount(c *app.RequestContext, customer, key string) {
	known, ok := e.lookupClaim(&call{customer: customer, key: key})
	if !ok {
		e.refuse(c, errdefs.New(errdefs.NotFound, "no request with this key is on record",
			"if it was sent within the last seconds, ask again; otherwise it was not run"), false)
		return
	}
	httpserver.JSON(c, 200, requestAccount{known, e.describeRequest(known)})
}

func (e *Entry) describeRequest(k claims.Claim) string {
	switch k.State {
	case lifecycle.RequestAnswered:
		if k.TooLarge {
			return "ran once and was answered; the answer was too large to keep"
		}
		return "ran once and was answered"
	case lifecycle.RequestNotRun:
		return "was not run and never will be"
	case lifecycle.RequestUnknown:
		return "may have run once; the answer was lost; it never runs again"
	case lifecycle.RequestExpired:
		return "ran at most once; its answer has expired; it never runs again"
	}
	if e.isEntryLive(k.Writer, k.Incarnation) {
		return "is in progress at entry " + k.Writer
	}
	return "may have run once; entry " + k.Writer + " was lost before it recorded the answer; it never runs again"
}

func (e *Entry) isEntryLive(id string, incarnation uint64) bool {
	if id == e.set.ID {
		return incarnation == e.incarnation
	}
	for _, p := range e.peers.live() {
		if p.id == id {
			return p.incarnation == incarnation
		}
	}
	return false
}
