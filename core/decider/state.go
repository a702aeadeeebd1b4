package decider

import (
	"time"

	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// workerContact is the decider's in-memory state of a worker, in addition to what is on the log.
type workerContact struct {
	// lastPoll is when the last poll of the worker was received.
	lastPoll time.Duration
	// leaseExpiry and serviceLeaseExpiry are the times by which the worker's leases have certainly expired if it sends no
	// further poll.
	leaseExpiry        time.Duration
	serviceLeaseExpiry time.Duration
	// permitExpiry is when the newest permit given to the worker has certainly expired.
	permitExpiry time.Duration
	// permitsExpiredSeq is the sequence number of the first poll that was answered after permitExpiry; 0 if none was.
	permitsExpiredSeq uint64
	// held maps each task to the newest attempt that the worker reported as running.
	held map[string]uint32
	// incarnation and sequence identify the newest poll that was accepted.
	incarnation, sequence uint64
	// fenced is true once the worker is known to reject older deciders; their possible lease renewals are ignored from then
	// on.
	fenced bool
	// down is true if the policy was notified that the worker is unresponsive.
	down bool
	// pendingThrottles holds throttle orders not yet sent to the worker, by task.
	pendingThrottles map[string]scheduler.ThrottleTask
	// cache holds what later polls may omit.
	cache pollCache
}

// State is the decider of one region on one entry. It is inactive unless the entry holds the newest epoch.
type State struct {
	cfg       Config
	policyCfg scheduler.Config
	auth      *authority.State
	region    *tasks.State
	conf      *config.State

	policy    *scheduler.State
	activated time.Duration
	contacts  map[string]*workerContact
	// pendingEnds and pendingWorkers hold, by task and by worker, what was proposed and is not applied from the log yet.
	pendingEnds    map[string]record.End
	pendingWorkers map[string]record.WorkerChange
	batchInFlight  bool
	lastBatch      time.Duration
	configReadAt   time.Duration
	// holds and localHolds map zones to the expiry of their hold: holds covers all of them, localHolds only those that were
	// requested at this entry.
	holds, localHolds map[string]time.Duration
	alerts            []scheduler.Alert
	// hasAuthority is true while this entry has authority; authoritySince is when it last gained it.
	hasAuthority   bool
	authoritySince time.Duration
	// awaitingConfig holds new tasks whose customer is not in the configuration read so far.
	awaitingConfig []deferredTask
}

// deferredTask is a new task that is passed to the policy once the configuration was read at a later time than queuedAt.
type deferredTask struct {
	task     string
	queuedAt time.Duration
}

// New returns an inactive decider over the given states of the region and the configuration.
func New(cfg Config, policy scheduler.Config, auth *authority.State, region *tasks.State, conf *config.State) *State {
	return &State{
		cfg: cfg, policyCfg: policy, auth: auth, region: region, conf: conf, holds: make(map[string]time.Duration),
		localHolds: make(map[string]time.Duration),
	}
}

// Rebind replaces the states of the region and the configuration after a snapshot was restored. A decider that still holds
// the newest epoch is rebuilt from them.
func (s *State) Rebind(now clock.Now, region *tasks.State, conf *config.State) {
	s.region, s.conf = region, conf
	s.deactivate()
	if s.auth.Holds() {
		s.activate(now)
	}
}

// Active reports whether this entry is the decider. It does not check that its authority is still valid.
func (s *State) Active() bool { return s.policy != nil }

// ConfigRead records that a read of the configuration stream sent at sentAt confirmed that all its records are applied.
func (s *State) ConfigRead(sentAt time.Duration) { s.configReadAt = max(s.configReadAt, sentAt) }

// Hold stops starts in a zone for the duration, at most MaxHold. It never shortens an existing hold. A relayed hold was
// requested at another entry. Hold reports whether the zone was not held before.
func (s *State) Hold(now clock.Now, zone string, d time.Duration, relayed bool) bool {
	until := now.Mono + min(d, s.cfg.MaxHold)
	fresh := now.Mono >= s.holds[zone] && until > now.Mono
	s.holds[zone] = max(s.holds[zone], until)
	if !relayed {
		s.localHolds[zone] = max(s.localHolds[zone], until)
	}
	return fresh
}

// LocalHolds returns the remaining duration of each hold that was requested at this entry. Only these are relayed to other
// entries: a hold relayed back and forth would be extended by the network delay each time.
func (s *State) LocalHolds(now clock.Now) map[string]time.Duration {
	list := make(map[string]time.Duration)
	for zone, until := range s.localHolds {
		if now.Mono < until {
			list[zone] = until - now.Mono
		} else {
			delete(s.localHolds, zone)
		}
	}
	return list
}

// mayStart reports whether a start permit may be issued for the zone.
func (s *State) mayStart(now clock.Now, zone string) bool {
	if !rule.Enabled(rule.Permit) {
		return true
	}
	fresh := s.configReadAt > 0 && now.Mono < s.configReadAt+s.cfg.ConfigFreshness
	return fresh && !s.conf.ZoneOut(zone) && now.Mono >= s.holds[zone]
}

// zoneClosed reports whether the zone is out of service, so that no permit is issued until a record brings it back.
func (s *State) zoneClosed(zone string) bool {
	return s.conf.ZoneOut(zone) && rule.Enabled(rule.Permit)
}

// ConfigChanged passes accepted changes to the policy. A record that brings a zone back into service also ends its holds,
// because they belong to an earlier order.
func (s *State) ConfigChanged(now clock.Now, outcomes []config.Outcome) {
	for _, o := range outcomes {
		if z := o.Change.Zone; z != nil && !z.Out && o.Status == config.Accepted {
			delete(s.holds, z.Zone)
			delete(s.localHolds, z.Zone)
		}
	}
	if s.policy == nil {
		return
	}
	for _, o := range outcomes {
		if o.Status != config.Accepted {
			continue
		}
		if o.Change.Contract != nil {
			s.policy.Apply(now.WallMs, scheduler.ContractChanged{Contract: *o.Change.Contract})
		}
		if o.Change.Zone != nil {
			s.policy.Apply(now.WallMs, scheduler.ZoneChanged{Zone: o.Change.Zone.Zone, Out: o.Change.Zone.Out})
		}
	}
}

// ApplyEffects passes the effects of an applied record to the policy, and activates or deactivates the decider when the epoch
// changes.
func (s *State) ApplyEffects(now clock.Now, effects []tasks.Effect) {
	for _, e := range effects {
		if c, ok := e.(tasks.EpochChanged); ok {
			s.epochChanged(now, c)
			continue
		}
		if s.policy != nil {
			s.applyEffect(now, e)
		}
	}
}

func (s *State) epochChanged(now clock.Now, c tasks.EpochChanged) {
	epoch, _ := s.auth.Epoch()
	if epoch == c.Epoch && s.auth.Holds() {
		s.activate(now)
		return
	}
	s.deactivate()
}

func (s *State) deactivate() {
	s.policy = nil
	s.contacts, s.pendingEnds, s.pendingWorkers, s.awaitingConfig = nil, nil, nil, nil
}

// activate builds the policy from the region's state. All workers count as unresponsive until they poll.
func (s *State) activate(now clock.Now) {
	s.activated, s.lastBatch = now.Mono, now.Mono
	s.contacts = make(map[string]*workerContact)
	s.pendingEnds = make(map[string]record.End)
	s.pendingWorkers = make(map[string]record.WorkerChange)
	s.policy = scheduler.New(s.policyCfg)
	if len(s.region.Learned) > 0 {
		if err := s.policy.ImportLearned(s.region.Learned); err != nil {
			s.alerts = append(s.alerts, scheduler.Alert{Code: "learned_dropped", Message: err.Error()})
		}
	}
	for _, customer := range s.conf.Customers() {
		s.policy.Apply(now.WallMs, scheduler.ContractChanged{Contract: s.conf.Contracts[customer].Contract})
	}
	for _, z := range s.conf.ZoneNames() {
		s.policy.Apply(now.WallMs, scheduler.ZoneChanged{Zone: z, Out: s.conf.ZoneOut(z)})
	}
	for _, id := range s.region.WorkerIDs() {
		w := s.region.Workers[id]
		if !w.Lost {
			s.policy.Apply(now.WallMs, scheduler.WorkerUp{ID: id, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity})
		}
	}
	for _, id := range s.region.JobIDs() {
		s.loadJob(now, s.region.Jobs[id])
	}
	for _, id := range s.region.WorkerIDs() {
		if !s.region.Workers[id].Lost {
			s.policy.Apply(now.WallMs, scheduler.WorkerDown{ID: id})
			s.ensureContact(now, id).down = true
		}
	}
}

func (s *State) loadJob(now clock.Now, job *tasks.Job) {
	if job.State != tasks.JobOpen {
		return
	}
	for _, id := range job.Tasks {
		t := s.region.Tasks[id]
		if t.State.Ended() {
			continue
		}
		s.enqueue(now, job, t)
		if t.State.Placed() {
			s.policy.Apply(now.WallMs, scheduler.TaskStarted{Start: record.Start{
				Task: t.ID, Attempt: t.Attempt, Worker: t.Worker, Size: t.Size,
			}})
		}
	}
}

// enqueue passes a queued task to the policy. A task of an unknown customer is deferred until a read of the configuration
// that was sent after the task's record was applied, because the policy refuses jobs of unknown customers permanently.
func (s *State) enqueue(now clock.Now, job *tasks.Job, t *tasks.Task) {
	if s.conf.Contracts[job.Spec.Customer] == nil && s.configReadAt <= now.Mono {
		s.awaitingConfig = append(s.awaitingConfig, deferredTask{t.ID, now.Mono})
		return
	}
	s.notifyQueued(now, job, t)
}

// enqueueDeferred passes deferred tasks to the policy if the configuration was read since.
func (s *State) enqueueDeferred(now clock.Now) {
	for len(s.awaitingConfig) > 0 && s.awaitingConfig[0].queuedAt < s.configReadAt {
		t := s.region.Tasks[s.awaitingConfig[0].task]
		s.awaitingConfig = s.awaitingConfig[1:]
		if t == nil || t.State.Ended() {
			continue
		}
		s.notifyQueued(now, s.region.Jobs[t.Job], t)
		if t.State.Placed() {
			s.policy.Apply(now.WallMs, scheduler.TaskStarted{Start: record.Start{
				Task: t.ID, Attempt: t.Attempt, Worker: t.Worker, Size: t.Size,
			}})
		}
	}
}

func (s *State) notifyQueued(now clock.Now, job *tasks.Job, t *tasks.Task) {
	next := t.Attempt + 1
	if t.State.Placed() {
		next = t.Attempt
	}
	s.policy.Apply(now.WallMs, scheduler.TaskQueued{
		Job: job.Spec, Task: t.ID, NextAttempt: next, CheckpointMs: t.CheckpointMs,
	})
}

func (s *State) applyEffect(now clock.Now, e tasks.Effect) {
	switch e := e.(type) {
	case tasks.WorkerChanged:
		s.workerChanged(now, e.Worker)
	case tasks.TaskQueued:
		s.enqueue(now, e.Job, e.Task)
	case tasks.TaskPlaced:
		s.policy.Apply(now.WallMs, scheduler.TaskStarted{Start: e.Start})
	case tasks.AttemptEnded:
		delete(s.pendingEnds, e.End.Task)
		if c := s.contacts[e.Worker]; c != nil {
			delete(c.held, e.End.Task)
			delete(c.pendingThrottles, e.End.Task)
		}
		s.policy.Apply(now.WallMs, scheduler.TaskEnded{End: e.End})
	case tasks.JobCancelling:
		s.policy.Apply(now.WallMs, scheduler.JobCancelled{Job: e.Job.Spec.ID})
	case tasks.JobEnded:
		s.policy.Apply(now.WallMs, scheduler.JobDone{Job: e.Job.Spec.ID})
	}
}

func (s *State) workerChanged(now clock.Now, w *tasks.Worker) {
	delete(s.pendingWorkers, w.ID)
	if w.Lost {
		s.policy.Apply(now.WallMs, scheduler.WorkerGone{ID: w.ID})
		delete(s.contacts, w.ID)
		return
	}
	s.policy.Apply(now.WallMs, scheduler.WorkerUp{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity})
	if c := s.ensureContact(now, w.ID); c.down {
		s.policy.Apply(now.WallMs, scheduler.WorkerDown{ID: w.ID})
	}
}

// ensureContact returns the contact of a worker and creates it if missing. The leases and permits of a worker that has not
// polled yet are counted from the end of older deciders' authority, because they may have been renewed until then.
func (s *State) ensureContact(now clock.Now, id string) *workerContact {
	c := s.contacts[id]
	if c != nil {
		return c
	}
	from := max(now.Mono, s.auth.GrantsEndedAt())
	c = &workerContact{
		lastPoll: now.Mono, leaseExpiry: from + clock.WithMargin(s.cfg.TaskLease),
		serviceLeaseExpiry: from + clock.WithMargin(s.cfg.ServiceLease), permitExpiry: from + clock.WithMargin(s.cfg.PermitTTL),
		held: make(map[string]uint32), pendingThrottles: make(map[string]scheduler.ThrottleTask),
	}
	s.contacts[id] = c
	return c
}

// Alerts returns and clears the alerts since the last call.
func (s *State) Alerts() []scheduler.Alert {
	out := s.alerts
	s.alerts = nil
	return out
}

// WaitReason returns why a job waits.
func (s *State) WaitReason(job string) string {
	if s.policy == nil {
		return "this entry is not the decider"
	}
	return s.policy.WaitReason(job)
}

// ExplainPlacement returns the chain of reasons behind the newest decision on a task.
func (s *State) ExplainPlacement(task string) []string {
	if s.policy == nil {
		return nil
	}
	return s.policy.ExplainPlacement(task)
}

// Learned returns the policy's learned statistics for a snapshot.
func (s *State) Learned() ([]byte, error) {
	if s.policy == nil {
		return s.region.Learned, nil
	}
	return s.policy.ExportLearned()
}

func isService(job *tasks.Job) bool {
	return job.Spec.Kind == record.ServiceJob
}

func isTerminating(t *tasks.Task) bool {
	return t.State == lifecycle.TaskEvicting || t.State == lifecycle.TaskStopping
}
