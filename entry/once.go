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
	// maxKeptBodyBytes bounds the body of an answer kept for repeats, in bytes.
	maxKeptBodyBytes = 64 << 10
	// answerWriteTimeout bounds how long a caller waits for the record of an answer. The answer is given even if it fails.
	answerWriteTimeout = 250 * time.Millisecond
	// replyMargin is left of a caller's deadline to tell that a claim is still in progress.
	replyMargin = 100 * time.Millisecond
	// minClaimTimeout and maxClaimTimeout bound how long a claim may take. In between it gets half of what is left of the caller's
	// deadline: with 1 s for all, a log that takes 700 ms a call recorded claims that were then refused.
	minClaimTimeout, maxClaimTimeout = time.Second, 5 * time.Second
	// logDownAfter is the age of the newest successful read of the log from which it counts as down. Reads of the region's
	// stream take up to 600 ms when nothing happens.
	logDownAfter = 1500 * time.Millisecond
)

// serveOnce claims the request on the log and runs it only if its claim is the first one of its key.
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
	// The claim may have been read back after its caller's deadline, for example because the process was paused.
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

// awaitAnswer waits for the answer of a claim that a live entry is working on, until shortly before the caller's
// deadline. A repeat that another entry takes a moment after the first answer would otherwise be told "in progress",
// because that entry has not read the answer's record yet.
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
	if newest, ok := e.lookupClaim(cl); ok {
		return newest
	}
	return known
}

// dropUnrecordedHeaders drops the headers that are not kept for repeats, so that every repeat gets the same answer as the first.
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
	var found claims.Claim
	ok := false
	e.read(func(s *core.State) {
		if k, has := s.Claims.Lookup(cl.customer, cl.key); has {
			found, ok = *k, true
		}
	})
	if ok && (found.State == lifecycle.RequestClaimed || found.State == lifecycle.RequestUnknown) {
		if kept, has := e.unrecorded.get(found.Customer, found.Key, found.Nonce); has {
			kept.apply(&found)
		}
	}
	return found, ok
}

// logDown reports whether the claims cannot be read, or no stream of the region could be read lately. The configuration may
// be on another log.
func (e *Entry) logDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	newestRead := max(e.views[core.ClaimStream].read, e.views[core.RegionStream].read)
	return e.views[core.ClaimStream].down || e.now().Mono-newestRead > logDownAfter
}

// claimRequest appends a claimRequest and reads it back. An error means that the request certainly does not run.
func (e *Entry) claimRequest(ctx context.Context, cl *call, nonce, digest uint64) (bool, error) {
	if e.logDown() {
		return false, notClaimedError("the log is down, so the request was not run")
	}
	ctx, cancel := context.WithTimeout(ctx, min(max(time.Until(cl.deadline)/2, minClaimTimeout), maxClaimTimeout))
	defer cancel()
	rc := record.RequestClaim{Customer: cl.customer, Key: cl.key, Nonce: nonce, Digest: digest}
	e.reads[core.ClaimStream].hurry(claimBusy)
	offset, err := e.claimWriter.Write(ctx, record.Record{RequestClaims: []record.RequestClaim{rc}})
	if err == nil {
		err = e.waitFor(ctx, func(s *core.State) bool { return s.Claims.Next > offset })
	}
	if err != nil {
		if !errors.Is(err, external.ErrNotAppended) {
			// The claim may still reach the log. This entry never runs it, and says so on the log.
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

// recordAnswer records how a claimed request ended. Until the record is read back, repeats at this entry are answered from
// memory.
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

// replayAnswer answers a repeat of a claimed request.
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
		p.Outcome, p.Ask = "unknown", requestPath(cl.key)
		setRetryAfter(c)
		httpserver.JSON(c, 409, p)
	}
}

func requestPath(key string) string { return "/v1/requests/" + url.PathEscape(key) }

// writeUnknown tells a caller that the request may have run.
func (e *Entry) writeUnknown(c *app.RequestContext, cl *call, err error) {
	p := problemOf(err)
	p.Outcome = "unknown"
	c.Set(outcomeKey, "unknown")
	if cl.key != "" {
		p.Ask = requestPath(cl.key)
	}
	status := 502
	if !time.Now().Before(cl.deadline) {
		status = 504
	}
	httpserver.JSON(c, status, p)
}

// getRequest tells the outcome of a claimed request.
func (e *Entry) getRequest(_ context.Context, c *app.RequestContext) {
	customer, err := e.customerOf(c)
	if err != nil {
		e.refuse(c, err, false)
		return
	}
	e.writeRequest(c, customer, c.Param("key"))
}

// requestAccount is the account of a claimed request.
type requestAccount struct {
	claims.Claim
	// Account says in words where the request stands.
	Account string `json:"account"`
}

func (e *Entry) writeRequest(c *app.RequestContext, customer, key string) {
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
