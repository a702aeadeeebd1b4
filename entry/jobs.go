package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/google/uuid"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/external/stream"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/record"
)

// Limits of jobs.
const (
	// writeTimeout bounds how long a submission, a cancellation or a change waits for the log.
	writeTimeout = 5 * time.Second
	// maxTasks bounds the tasks of one job.
	maxTasks = 10_000
	// maxClassBytes and maxCommandBytes bound texts of a job in bytes, because up to 512 submissions share one record.
	maxClassBytes   = 100
	maxCommandBytes = 16 << 10
	// staleAfter is the age of the newest read from which an account says that the log does not answer.
	staleAfter = 3 * time.Second
)

var jobNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

// JobAccount is the state of a job with its history and the reason for waiting.
type JobAccount struct {
	// Job is the job as recorded.
	Job *tasks.Job `json:"job"`
	// Tasks holds the job's tasks with their history.
	Tasks []tasks.Task `json:"tasks"`
	// Waiting is the reason why tasks wait, if any do and this entry knows it.
	Waiting string `json:"waiting,omitempty"`
	// AsOf is the offset of the region's stream that the account includes.
	AsOf uint64 `json:"as_of"`
	// AgeMs is how old the account may be: the time since the newest read of the log.
	AgeMs int64 `json:"age_ms"`
}

func (e *Entry) submitJob(ctx context.Context, c *app.RequestContext) {
	customer, err := e.customerOf(c)
	if err != nil {
		e.refuse(c, err, true)
		return
	}
	e.submit(ctx, c, customer)
}

// submit accepts a job of a customer who has already been authenticated.
func (e *Entry) submit(ctx context.Context, c *app.RequestContext, customer string) {
	job, err := e.parseJob(c.Request.Body(), customer)
	if err != nil {
		e.refuse(c, err, true)
		return
	}
	if e.jobOnRecord(job.ID) {
		e.writeSubmitted(ctx, c, 200, job)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	offset, err := e.submitWriter.Write(ctx, record.Record{Submits: []record.Job{job}})
	if err == nil {
		err = e.waitRecorded(ctx, core.RegionStream, e.submitWriter, offset)
	}
	if err != nil {
		e.writeNotRecorded(c, err, "job", "/v1/jobs/"+strings.TrimPrefix(job.ID, customer+"/"))
		return
	}
	e.writeSubmitted(ctx, c, 202, job)
}

// writeSubmitted responds to a submission with the account of the recorded job. A job with the same id and other contents
// is a conflict: its sender would otherwise mistake the account for that of the job just sent.
func (e *Entry) writeSubmitted(ctx context.Context, c *app.RequestContext, status int, sent record.Job) {
	if a, ok := e.account(sent.ID); ok {
		recorded := a.Job.Spec
		recorded.SubmittedMs = sent.SubmittedMs
		if recorded != sent {
			e.refuse(c, errdefs.New(errdefs.Conflict, "another job with the id "+sent.ID+" is on record; this one was not accepted",
				"choose another id, or look at the recorded job with GET /v1/jobs"), true)
			return
		}
	}
	e.writeAccount(ctx, c, status, sent.ID)
}

// waitRecorded waits until the record at the offset was applied. A record is void if a newer run of this entry has written to
// the stream before it.
func (e *Entry) waitRecorded(ctx context.Context, kind core.Stream, w *stream.Writer, offset uint64) error {
	if err := e.waitFor(ctx, func(s *core.State) bool { return nextOffset(s, kind) > offset }); err != nil {
		return err
	}
	void := false
	e.read(func(s *core.State) {
		writers := s.Region.Writers
		if kind == core.ConfigStream {
			writers = s.Config.Writers
		}
		void = writers[w.ID()].Incarnation > e.incarnation
	})
	if void {
		return fmt.Errorf("another run of entry %s writes to the log: %w", e.set.ID, external.ErrNotAppended)
	}
	return nil
}

// parseJob decodes and validates a job.
func (e *Entry) parseJob(body []byte, customer string) (record.Job, error) {
	var job record.Job
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&job); err != nil {
		return job, errdefs.Field("body", err.Error(), "send a job as JSON; docs/operators.md has an example")
	}
	if job.ID == "" {
		job.ID = uuid.NewString()
	}
	if !jobNamePattern.MatchString(job.ID) {
		return job, errdefs.Field("id", fmt.Sprintf("%q is not a job name", job.ID), "use up to 100 letters, digits, dots, hyphens and underscores")
	}
	job.ID = customer + "/" + job.ID
	job.Customer = customer
	job.SubmittedMs = wallMs()
	return job, CheckJob(job)
}

// CheckJob validates a job and returns the first error.
func CheckJob(job record.Job) error {
	switch job.Kind {
	case record.BatchJob, record.StandingJob, record.ServiceJob:
	default:
		return errdefs.Field("kind", fmt.Sprintf("%q is unknown", job.Kind), "use batch, standing or service")
	}
	switch {
	case job.Tasks < 1 || job.Tasks > maxTasks:
		return errdefs.Field("tasks", "is outside 1 to 10000", "split larger jobs")
	case job.Size.CPUMilli <= 0 || job.Size.MemoryMB <= 0 || job.Size.Accelerators < 0:
		return errdefs.Field("size", "needs positive cpu_milli and memory_mb", "declare what each task uses at most")
	case len(job.Class) > maxClassBytes:
		return errdefs.Field("class", "is longer than 100 bytes", "use a short name for jobs that behave alike")
	case len(job.Command) > maxCommandBytes:
		return errdefs.Field("command", "is longer than 16384 bytes", "store the input elsewhere and name it in the command")
	case job.RunMs < 0 || job.DeadlineMs < 0:
		return errdefs.Field("run_ms", "and deadline_ms must not be negative", "use 0 for none")
	case job.Kind == record.BatchJob && job.RunMs == 0:
		return errdefs.Field("run_ms", "is missing", "declare the expected run time of a task in milliseconds")
	}
	return nil
}

func (e *Entry) jobOnRecord(id string) bool {
	ok := false
	e.read(func(s *core.State) { ok = s.Region.Jobs[id] != nil || s.Region.JobExpired(id) })
	return ok
}

// writeNotRecorded responds that a record was not written, or that it may have been and may still take effect.
func (e *Entry) writeNotRecorded(c *app.RequestContext, err error, what, statusPath string) {
	if errors.Is(err, external.ErrNotAppended) {
		e.refuse(c, errdefs.New(errdefs.Unavailable, "the log does not take records, so the "+what+" was not accepted",
			"try again after Retry-After"), true)
		return
	}
	p := problemOf(errdefs.New(errdefs.Unknown, "the "+what+" may or may not be on record", "ask GET "+statusPath+"; sending it again with the same id is safe"))
	p.Outcome, p.OutcomePath = "unknown", statusPath
	httpserver.JSON(c, 502, p)
}

func (e *Entry) account(id string) (JobAccount, bool) {
	var a JobAccount
	ok := false
	age, _ := e.stateAge(core.RegionStream)
	a.AgeMs = age.Milliseconds()
	configAge, configRead := e.stateAge(core.ConfigStream)
	e.read(func(s *core.State) {
		job := s.Region.Jobs[id]
		if job == nil {
			return
		}
		ok = true
		copied := *job
		a.Job, a.AsOf = &copied, s.Region.Next
		for _, t := range job.Tasks {
			a.Tasks = append(a.Tasks, *s.Region.Tasks[t])
		}
		if job.State == tasks.JobOpen && s.Decider.Active() {
			a.Waiting = s.Decider.WaitReason(id)
			if !s.Authority.Valid(e.now()) || !s.Authority.LogFresh(e.now(), staleAfter) {
				a.Waiting = "the log does not answer, and nothing starts until it does"
			} else if !configRead || configAge >= staleAfter {
				a.Waiting = "the log with the configuration does not answer, and nothing starts until it does"
			}
		}
	})
	return a, ok
}

// writeAccount responds with a job's account. It reports that a job is not on record only after a read of the log that was
// sent after the request arrived.
func (e *Entry) writeAccount(ctx context.Context, c *app.RequestContext, status int, id string) {
	a, ok := e.account(id)
	fresh := true
	if !ok {
		fresh = e.awaitFreshRead(ctx, core.RegionStream)
		a, ok = e.account(id)
	}
	expired := false
	e.read(func(s *core.State) { expired = s.Region.JobExpired(id) })
	switch {
	case ok:
		httpserver.JSON(c, status, a)
	case expired:
		e.refuse(c, errdefs.New(errdefs.Expired, "job "+id+" ended and its account has expired", "read accounts before they expire; the id is not used again"), false)
	case !fresh:
		e.refuse(c, errdefs.New(errdefs.Unavailable, "the log does not answer, so nobody can say whether job "+id+" is on record", "ask again later"), false)
	default:
		e.refuse(c, errdefs.New(errdefs.NotFound, "no job "+id+" is on record", "check the id"), false)
	}
}

func (e *Entry) getJob(ctx context.Context, c *app.RequestContext) {
	customer, err := e.customerOf(c)
	if err != nil {
		e.refuse(c, err, false)
		return
	}
	e.writeAccount(ctx, c, 200, customer+"/"+c.Param("job"))
}

// JobSummary is one row of a list of jobs.
type JobSummary struct {
	ID       string         `json:"id"`
	Customer string         `json:"customer"`
	Kind     record.JobKind `json:"kind"`
	State    tasks.JobState `json:"state"`
	Open     int            `json:"open"`
	Tasks    int            `json:"tasks"`
	Cause    string         `json:"cause"`
}

func (e *Entry) jobSummaries(customer string) []JobSummary {
	list := []JobSummary{}
	e.read(func(s *core.State) {
		for _, id := range s.Region.JobIDs() {
			job := s.Region.Jobs[id]
			if customer != "" && job.Spec.Customer != customer {
				continue
			}
			list = append(list, JobSummary{
				ID: id, Customer: job.Spec.Customer, Kind: job.Spec.Kind, State: job.State, Open: job.Open,
				Tasks: len(job.Tasks), Cause: job.History[len(job.History)-1].Cause,
			})
		}
	})
	return list
}

func (e *Entry) listJobs(_ context.Context, c *app.RequestContext) {
	customer, err := e.customerOf(c)
	if err != nil {
		e.refuse(c, err, false)
		return
	}
	httpserver.JSON(c, 200, e.jobSummaries(customer))
}

func (e *Entry) cancelJob(ctx context.Context, c *app.RequestContext) {
	customer, err := e.customerOf(c)
	if err != nil {
		e.refuse(c, err, true)
		return
	}
	e.cancel(ctx, c, customer+"/"+c.Param("job"), "customer "+customer)
}

func (e *Entry) cancel(ctx context.Context, c *app.RequestContext, id, by string) {
	if !e.jobOnRecord(id) && (!e.awaitFreshRead(ctx, core.RegionStream) || !e.jobOnRecord(id)) {
		e.writeAccount(ctx, c, 404, id)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	offset, err := e.submitWriter.Write(ctx, record.Record{Cancels: []record.Cancel{{Job: id, By: by}}})
	if err == nil {
		err = e.waitRecorded(ctx, core.RegionStream, e.submitWriter, offset)
	}
	if err != nil {
		e.writeNotRecorded(c, err, "cancel", "/v1/jobs/"+id)
		return
	}
	e.writeAccount(ctx, c, 202, id)
}
