package telemetry

// Kind is the kind of a metric.
type Kind string

// Kinds of metrics.
const (
	CounterKind   Kind = "counter"
	GaugeKind     Kind = "gauge"
	HistogramKind Kind = "histogram"
)

// Roles of the processes that export a metric.
const (
	EntryRole = "entry"
	SideRole  = "side"
	BothRoles = "entry, side"
)

// Desc describes a metric.
type Desc struct {
	// Name is the metric's name in the Prometheus format; names of counters end in _total.
	Name string
	// Kind is counter, gauge or histogram. Histograms are in seconds.
	Kind Kind
	// Role names the roles of the processes that export the metric.
	Role string
	// Labels are the names of the metric's labels.
	Labels []string
	// Help describes the metric.
	Help string
}

// catalogue lists all metrics in the order of their definition.
var catalogue []*Desc

// Catalogue returns the descriptions of all metrics.
func Catalogue() []*Desc { return catalogue }

func define(kind Kind, role, name, help string, labels ...string) *Desc {
	d := &Desc{Name: "verbenakeel_" + name, Kind: kind, Role: role, Labels: labels, Help: help}
	catalogue = append(catalogue, d)
	return d
}

// Metrics of requests.
var (
	RequestSeconds = define(HistogramKind, EntryRole, "request_duration_seconds",
		"time from the arrival of a caller's request to its answer; outcome is answered, refused or unknown", "service", "outcome")
	ZoneAnswers = define(CounterKind, EntryRole, "zone_requests_answered_total",
		"answers taken from endpoints, by the endpoint's availability zone", "service", "zone")
	RetryTokens = define(GaugeKind, EntryRole, "retry_budget_tokens", "retries that the budget allows now")
	HedgeTokens = define(GaugeKind, EntryRole, "hedge_budget_tokens", "hedges that the budget allows now")
	Endpoints   = define(GaugeKind, EntryRole, "endpoints", "endpoints that this entry knows, by state", "service", "zone", "state")
)

// Metrics of jobs and tasks. Only the acting decider counts ended attempts and evictions, so a sum over all entries counts
// each once.
var (
	BatchFinished = define(CounterKind, EntryRole, "batch_tasks_finished_total", "batch tasks that finished; counted by the decider", "customer")
	AttemptsEnded = define(CounterKind, EntryRole, "attempts_ended_total", "attempts of tasks that ended; counted by the decider", "kind", "outcome")
	Evictions     = define(CounterKind, EntryRole, "evictions_total", "evictions by class of reason; counted by the decider", "reason")
	ZoneWork      = define(CounterKind, EntryRole, "zone_work_core_seconds_total",
		"core-seconds of attempts that finished, by availability zone; counted by the decider", "zone")
	VoidDecisions = define(CounterKind, EntryRole, "void_decisions_total", "recorded decisions that were void; counted by the decider")
	OpenJobs      = define(GaugeKind, EntryRole, "open_jobs", "jobs with tasks that have not ended", "kind")
	Tasks         = define(GaugeKind, EntryRole, "tasks", "tasks of open jobs, by state; queued tasks are the queue", "kind", "state")
	Workers       = define(GaugeKind, EntryRole, "workers", "workers on record, by state", "zone", "state")
	Committed     = define(GaugeKind, EntryRole, "worker_committed", "resources committed on workers that are not lost: cpu_milli, memory_mb or accelerators", "zone", "resource")
	Capacity      = define(GaugeKind, EntryRole, "worker_capacity", "resources of workers that are not lost: cpu_milli, memory_mb or accelerators", "zone", "resource")
)

// Metrics of limits.
var (
	LimitUsed = define(GaugeKind, EntryRole, "limit_used",
		"use of a limit of a contract. Request limits are this entry's share and are shown once the customer sent a request", "customer", "limit")
	LimitAllowed = define(GaugeKind, EntryRole, "limit_allowed", "what a limit of a contract allows", "customer", "limit")
	ClaimsBytes  = define(GaugeKind, EntryRole, "claims_bytes", "memory of the keys and answers of requests that may run at most once, estimated")
	ClaimsBudget = define(GaugeKind, EntryRole, "claims_budget_bytes", "memory setting for keys and answers; from here on customers with their share are refused")
)

// Metrics of authority and the log.
var (
	DeciderEpoch  = define(GaugeKind, EntryRole, "decider_epoch", "epoch of the newest decider that this entry knows")
	DeciderActing = define(GaugeKind, EntryRole, "decider_acting", "1 while this entry may act as decider")
	EvidenceAge   = define(GaugeKind, EntryRole, "evidence_age_seconds", "age of this decider's evidence of authority; absent at other entries")
	LogReadAge    = define(GaugeKind, EntryRole, "log_read_age_seconds", "time since the newest answered read of a stream was sent", "stream")
	LogAppends    = define(HistogramKind, EntryRole, "log_append_duration_seconds", "time of appends; outcome is appended, not_appended or unknown", "stream", "outcome")
	Revision      = define(GaugeKind, EntryRole, "config_revision", "revision of the configuration in force at this entry")
	LiveEntries   = define(GaugeKind, EntryRole, "live_entries", "entries of the region heard of lately, this one included")
)

// Metrics of side processes.
var (
	Slots            = define(GaugeKind, SideRole, "slots", "slots of the endpoint", "state")
	QueueLength      = define(GaugeKind, SideRole, "queue_length", "requests that wait for a slot")
	EndpointSeconds  = define(HistogramKind, SideRole, "endpoint_duration_seconds", "time from the arrival of a forwarded request to its answer, with the wait for a slot; outcome is answered or unknown", "outcome")
	EndpointRefusals = define(CounterKind, SideRole, "endpoint_refusals_total", "requests refused as not run, by reason", "reason")
	EndpointIsUp     = define(GaugeKind, SideRole, "endpoint_up", "1 while the endpoint answers")
	AnnounceAge      = define(GaugeKind, SideRole, "announce_age_seconds", "time since an entry took an announcement")
	SyncAge          = define(GaugeKind, SideRole, "sync_age_seconds", "time since a decider answered a poll of the worker")
	HeldTasks        = define(GaugeKind, SideRole, "worker_tasks", "tasks that the worker holds, ended ones included until the decider took their end")
	SideRevision     = define(GaugeKind, SideRole, "side_config_revision", "revision of the configuration that the side process follows")
	SideDraining     = define(GaugeKind, SideRole, "draining", "1 during a graceful shutdown of the endpoint")
	ControlBytes     = define(CounterKind, BothRoles, "control_bytes_total", "bytes of message bodies between processes, heartbeats included; direction is sent or received", "message", "direction")
	ProcessesInfo    = define(GaugeKind, BothRoles, "process_info", "1, with the id, the availability zone and the incarnation of the process", "process", "zone", "incarnation")
)

// Metrics of the processes on the users' platform.
var (
	FleetDeciderAge = define(HistogramKind, SideRole, "decider_answer_age_seconds",
		"age of a report when the decider's answer to it arrives; the lease of the worker shrinks by it")
	FleetOtherLife  = define(CounterKind, SideRole, "worker_calls_other_life_total", "calls answered by another life of the worker than the one they were meant for", "call")
	FleetUnanswered = define(CounterKind, SideRole, "worker_calls_unanswered_total", "calls to the worker without an answer", "call")
	FleetRequests   = define(HistogramKind, EntryRole, "job_request_duration_seconds",
		"time of requests of callers; outcome is the status", "call", "outcome")
	FleetStore = define(HistogramKind, EntryRole, "store_call_duration_seconds",
		"time of calls to the store; outcome is done, refused or unknown", "call", "outcome")
	FleetEventWait = define(HistogramKind, EntryRole, "decider_event_wait_seconds",
		"time that an event waits for the decider's loop; a decider that falls behind shows here first")
	FleetAdviser = define(HistogramKind, EntryRole, "adviser_call_duration_seconds",
		"time of calls to the adviser; outcome is done or failed", "outcome")
	FleetDecisions    = define(CounterKind, EntryRole, "decisions_total", "decisions of this decider", "kind")
	FleetDeciding     = define(GaugeKind, EntryRole, "deciding", "1 while this entry decides")
	IntakeBytes       = define(GaugeKind, BothRoles, "intake_bytes", "buffers of requests and messages that are read or carried out, in bytes")
	IntakeConnections = define(GaugeKind, BothRoles, "intake_connections", "open connections that this process accepted")
	IntakeRefusals    = define(CounterKind, BothRoles, "intake_refusals_total", "requests and connections refused by the bounds on intake; none of them ran", "reason")
	FleetDropped      = define(GaugeKind, BothRoles, "log_lines_dropped", "log lines dropped since the start")
	FleetRefused      = define(CounterKind, EntryRole, "submissions_not_admitted_total", "submissions refused because too much work waits",
		"capacity", "priority")
)
