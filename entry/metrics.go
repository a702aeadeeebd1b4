package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/core/route"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

// metrics holds the instruments of an entry.
type metrics struct {
	registry      *telemetry.Registry
	log           *telemetry.Log
	requests      telemetry.Histogram
	zoneAnswers   telemetry.Counter
	batchFinished telemetry.Counter
	attemptsEnded telemetry.Counter
	evictions     telemetry.Counter
	zoneWork      telemetry.Counter
	voided        telemetry.Counter
	bytes         telemetry.Counter
}

// newMetrics creates the instruments and wraps the log so that its calls are counted.
func (e *Entry) newMetrics(log external.Log) error {
	r, err := telemetry.New()
	if err != nil {
		return err
	}
	m := &metrics{registry: r}
	for d, c := range map[*telemetry.Desc]*telemetry.Counter{
		telemetry.ZoneAnswers: &m.zoneAnswers, telemetry.BatchFinished: &m.batchFinished, telemetry.AttemptsEnded: &m.attemptsEnded,
		telemetry.Evictions: &m.evictions, telemetry.ZoneWork: &m.zoneWork, telemetry.VoidDecisions: &m.voided,
		telemetry.ControlBytes: &m.bytes,
	} {
		if *c, err = r.Counter(d); err != nil {
			return err
		}
	}
	if m.requests, err = r.Histogram(telemetry.RequestSeconds); err != nil {
		return err
	}
	appends, err := r.Histogram(telemetry.LogAppends)
	if err != nil {
		return err
	}
	m.log = telemetry.NewLog(log, appends)
	e.metrics = m
	return r.Gauges([]*telemetry.Desc{
		telemetry.RetryTokens, telemetry.HedgeTokens, telemetry.Endpoints, telemetry.OpenJobs, telemetry.Tasks, telemetry.Workers, telemetry.Committed,
		telemetry.Capacity, telemetry.LimitUsed, telemetry.LimitAllowed, telemetry.ClaimsBytes,
		telemetry.ClaimsBudget, telemetry.DeciderEpoch, telemetry.DeciderActing,
		telemetry.EvidenceAge, telemetry.LogReadAge, telemetry.Revision, telemetry.LiveEntries, telemetry.ProcessesInfo,
	}, e.setGauges)
}

// setGauges sets all gauges.
func (e *Entry) setGauges(set telemetry.Set) {
	set(telemetry.ProcessesInfo, 1, e.set.ID, e.set.Zone, strconv.FormatUint(e.incarnation, 10))
	entries := float64(len(e.peers.live()) + 1)
	set(telemetry.LiveEntries, entries)
	for stream, age := range e.metrics.log.Ages() {
		set(telemetry.LogReadAge, age.Seconds(), stream)
	}
	e.read(func(s *core.State) {
		now := e.now()
		epoch, _ := s.Authority.Epoch()
		set(telemetry.DeciderEpoch, float64(epoch))
		set(telemetry.DeciderActing, boolValue(s.Authority.Valid(now)))
		if age, ok := s.Authority.EvidenceAge(now); ok {
			set(telemetry.EvidenceAge, age.Seconds())
		}
		set(telemetry.Revision, float64(s.Config.Revision))
		set(telemetry.ClaimsBytes, float64(s.Claims.Bytes()))
		set(telemetry.ClaimsBudget, float64(e.claimsBudget()))
		set(telemetry.RetryTokens, s.Route.RetryTokens())
		set(telemetry.HedgeTokens, s.Route.HedgeTokens())
		observeEndpoints(s, set)
		observeWorkers(s, set)
		observeWork(s, set)
		for _, name := range s.Config.Customers() {
			if u, ok := s.Route.LimitUse(now, name); ok {
				observeRequestLimits(s.Config.Contracts[name].Contract, u, entries, set)
			}
		}
	})
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func observeEndpoints(s *core.State, set telemetry.Set) {
	counts := make(map[[3]string]int)
	for _, ep := range s.Members.All() {
		counts[[3]string{ep.Service, ep.Zone, string(ep.State)}]++
	}
	for k, n := range counts {
		set(telemetry.Endpoints, float64(n), k[0], k[1], k[2])
	}
}

func observeWorkers(s *core.State, set telemetry.Set) {
	counts := make(map[[2]string]int)
	committed, capacity := make(map[string]record.Resources), make(map[string]record.Resources)
	for _, w := range s.Region.Workers {
		if w.Lost {
			counts[[2]string{w.Zone, "lost"}]++
			continue
		}
		counts[[2]string{w.Zone, "known"}]++
		committed[w.Zone] = committed[w.Zone].Add(w.Committed)
		capacity[w.Zone] = capacity[w.Zone].Add(w.Capacity)
	}
	for k, n := range counts {
		set(telemetry.Workers, float64(n), k[0], k[1])
	}
	for zone, r := range committed {
		setResources(set, telemetry.Committed, zone, r)
		setResources(set, telemetry.Capacity, zone, capacity[zone])
	}
}

func setResources(set telemetry.Set, d *telemetry.Desc, zone string, r record.Resources) {
	set(d, float64(r.CPUMilli), zone, "cpu_milli")
	set(d, float64(r.MemoryMB), zone, "memory_mb")
	set(d, float64(r.Accelerators), zone, "accelerators")
}

// customerUse is what a customer uses of its contract in the region.
type customerUse struct {
	committed      record.Resources
	placed, queued int
}

// observeWork reports jobs and tasks, and the use of contracts by them.
func observeWork(s *core.State, set telemetry.Set) {
	type kindState struct {
		kind  record.JobKind
		state lifecycle.TaskState
	}
	jobs, counts, uses := make(map[record.JobKind]int), make(map[kindState]int), make(map[string]customerUse)
	for _, j := range s.Region.Jobs {
		if j.State != tasks.JobOpen {
			continue
		}
		jobs[j.Spec.Kind]++
		u, hasQueued := uses[j.Spec.Customer], false
		for _, id := range j.Tasks {
			t := s.Region.Tasks[id]
			counts[kindState{j.Spec.Kind, t.State}]++
			if t.State.Placed() {
				u.placed++
				u.committed = u.committed.Add(t.Size)
			}
			hasQueued = hasQueued || t.State == lifecycle.TaskQueued
		}
		if hasQueued {
			u.queued++
		}
		uses[j.Spec.Customer] = u
	}
	for kind, n := range jobs {
		set(telemetry.OpenJobs, float64(n), string(kind))
	}
	for k, n := range counts {
		set(telemetry.Tasks, float64(n), string(k.kind), string(k.state))
	}
	for _, name := range s.Config.Customers() {
		c, u := s.Config.Contracts[name].Contract, uses[name]
		limit := func(name string, used, allowed float64) {
			set(telemetry.LimitUsed, used, c.Customer, name)
			set(telemetry.LimitAllowed, allowed, c.Customer, name)
		}
		limit("max_tasks", float64(u.placed), float64(c.MaxTasks))
		limit("max_queued", float64(u.queued), float64(c.MaxQueued))
		if c.MaxKeys > 0 {
			limit("max_keys", float64(s.Claims.Use(c.Customer).Keys), float64(c.MaxKeys))
		}
		limit("burst_cpu_milli", float64(u.committed.CPUMilli), float64(c.Burst.CPUMilli))
		limit("burst_memory_mb", float64(u.committed.MemoryMB), float64(c.Burst.MemoryMB))
		limit("burst_accelerators", float64(u.committed.Accelerators), float64(c.Burst.Accelerators))
	}
}

// observeRequestLimits reports the request limits of a customer that recently sent requests to this entry.
func observeRequestLimits(c record.Contract, u route.LimitUse, entries float64, set telemetry.Set) {
	set(telemetry.LimitUsed, float64(u.InFlight), c.Customer, "concurrency")
	set(telemetry.LimitAllowed, max(1, float64(c.Concurrency)/entries), c.Customer, "concurrency")
	set(telemetry.LimitUsed, max(0, u.Burst-u.Available), c.Customer, "request_burst")
	set(telemetry.LimitAllowed, u.Burst, c.Customer, "request_burst")
}

// countRegionEffect counts the effect of a record on the region, at the decider only, so that sums over entries are
// right.
func (e *Entry) countRegionEffect(eff tasks.Effect) {
	m := e.metrics
	var kind, customer, zone string
	active, finished := false, false
	loadJob := func(s *core.State, t *tasks.Task) {
		active = s.Decider.Active()
		if j := s.Region.Jobs[t.Job]; j != nil {
			kind, customer = string(j.Spec.Kind), j.Spec.Customer
		}
	}
	switch eff := eff.(type) {
	case tasks.AttemptEnded:
		cores := 0.0
		e.read(func(s *core.State) {
			loadJob(s, eff.Task)
			finished, cores = eff.Task.State == lifecycle.TaskFinished, float64(eff.Task.Size.CPUMilli)/1000
			if w := s.Region.Workers[eff.Worker]; w != nil {
				zone = w.Zone
			}
		})
		if !active {
			return
		}
		m.attemptsEnded.Add(1, kind, string(eff.End.Outcome))
		if finished {
			m.batchFinished.Add(1, customer)
			m.zoneWork.Add(cores*(time.Duration(eff.End.RanMs)*time.Millisecond).Seconds(), zone)
		}
	case tasks.TaskTerminating:
		e.read(func(s *core.State) { loadJob(s, eff.Task) })
		if class := evictionClass(eff.Reason); active && class != "" {
			m.evictions.Add(1, class)
		}
	case tasks.Voided:
		if e.isDecider() {
			m.voided.Add(1)
		}
	}
}

// evictionClasses map words in reasons to classes, because reasons contain names and would create a series each. The
// first match wins. An empty class is not counted as an eviction.
var evictionClasses = []struct{ word, class string }{
	{"job cancelled", ""}, {"zone", "zone_out"}, {"lent", "reclaimed"}, {"slowed", "interference"}, {"no progress", "no_progress"},
	{"replica", "replica_surplus"},
}

func evictionClass(reason string) string {
	for _, c := range evictionClasses {
		if strings.Contains(reason, c.word) {
			return c.class
		}
	}
	return "other"
}
