package scheduler

// Config holds the settings of the policy. All times are in milliseconds.
type Config struct {
	// SettleMs is how long after the first worker joined the fleet counts as complete, and how long a worker that
	// left still counts as a size that the fleet has.
	SettleMs int64
	// MaxStarts bounds the starts in one call of Decide.
	MaxStarts int
	// MaxTries bounds the placements tried in one call of Decide.
	MaxTries int
	// MaxVisits bounds the workers looked at in one call of Decide; the placement that reaches it is the last.
	MaxVisits int
	// MaxAdmissions bounds the jobs checked for admission in one call of Decide.
	MaxAdmissions int
	// MaxCandidates bounds the workers scored for one placement.
	MaxCandidates int
	// RepeatMs is how long a decision that was dropped or not confirmed waits before it is made again.
	RepeatMs int64
	// RiskMarginMs is how long before its latest start a task counts as at risk of missing its deadline.
	RiskMarginMs int64
	// NoDeadlineFactor times the expected run time after its submission is the latest start by which a job without
	// deadline is ordered, and NoDeadlineMs bounds it.
	NoDeadlineFactor, NoDeadlineMs int64
	// UrgentAlertMs is how long an urgent task may wait before operators are told.
	UrgentAlertMs int64
	// UrgentBeyond bounds the urgent tasks of a customer that go before all others although it uses more than its
	// guaranteed share.
	UrgentBeyond int
	// FirstRuns bounds the tasks of a class that run before their sizes were measured.
	FirstRuns int
	// FirstRunsMs is how long after the first start of a class this bound holds if no usage is reported.
	FirstRunsMs int64
	// ProveMs is how long an attempt must run without failure to count as seen to run if no usage is reported.
	ProveMs int64
	// ReportMaxAgeMs is the age beyond which a usage report is ignored.
	ReportMaxAgeMs int64
	// ReportHalfMs is the age at which a usage report counts half.
	ReportHalfMs int64
	// ReportStaleMs is the age of a worker's newest report from which its silence counts against it.
	ReportStaleMs int64
	// HarmLimitMilli is the expected slowdown of a service, in thousandths, beyond which no batch task is added to its
	// worker unless the task is urgent or at risk.
	HarmLimitMilli int64
	// HarmWaitMs is how long a task waits before that limit grows for it, by as much again in each such time.
	HarmWaitMs int64
	// HotMilli and CalmMilli are the slowdowns of a service, in thousandths, above which batch tasks beside it are held
	// back and below which throttles are lifted.
	HotMilli, CalmMilli int64
	// HotReports and CalmReports are how many reports in a row it takes for either.
	HotReports, CalmReports int
	// MinStayMs is how long a task stays on a worker before it may be moved for a service.
	MinStayMs int64
	// MaxLostMs bounds the run time that an eviction may lose, other than from a zone that is out.
	MaxLostMs int64
	// TaskEvictions bounds how often a task is moved for a service; a job has as many and one for every four tasks.
	TaskEvictions int
	// EvictEveryMs is the time between two moves for a service from one worker.
	EvictEveryMs int64
	// ProbationMs is the first time between trials of a worker on probation; it doubles up to ProbationMaxMs.
	ProbationMs, ProbationMaxMs int64
	// ReclaimMs is how long a task within its guaranteed share waits before lent room is taken back for it, and
	// ReclaimUrgentMs how long an urgent one waits.
	ReclaimMs, ReclaimUrgentMs int64
	// ReclaimWaitMs is how long a task within its guaranteed share that is not urgent may wait for room that running tasks
	// are expected to free, before lent room is taken back by evictions. It counts from the last start of its customer.
	ReclaimWaitMs int64
	// KeepMs is how long a task within its guaranteed share waits before the room of a worker is kept for it.
	KeepMs int64
	// ReclaimGapMs is how long no task of the customer has started before room is taken back for it.
	ReclaimGapMs int64
	// ReclaimsPerCall bounds the tasks for which room is taken back in one call of Decide.
	ReclaimsPerCall int
	// NominateMs is how long freed room is kept for the job it was freed for.
	NominateMs int64
	// EvacPerCall bounds the evictions from a zone that is out in one call of Decide.
	EvacPerCall int
	// EvacEveryMs is the time between evictions from a zone that is out when the other zones have no room.
	EvacEveryMs int64
	// EvacStayMs is how long a batch task of a zone that is taken out may stay there to end.
	EvacStayMs int64
	// ZoneFillMs is how long a zone that comes back takes to fill.
	ZoneFillMs int64
	// BackoffMs is the first wait before a standing task is restarted; it doubles up to BackoffMaxMs.
	BackoffMs, BackoffMaxMs int64
	// StandingStableMs is how long a standing task runs before its waits start over.
	StandingStableMs int64
	// HangMs is how long a standing task may show no progress.
	HangMs int64
	// WatchPerCall bounds the standing tasks and the deadlines looked at in one call of Decide.
	WatchPerCall int
}

// DefaultConfig returns the settings for the sizes that the design page names.
func DefaultConfig() Config {
	return Config{
		SettleMs:      30_000,
		MaxStarts:     32,
		MaxTries:      32,
		MaxVisits:     700,
		MaxAdmissions: 256,
		MaxCandidates: 48,
		RepeatMs:      5_000,
		RiskMarginMs:  60_000,
		NoDeadlineMs:  24 * 3_600_000,

		NoDeadlineFactor: 20,
		UrgentAlertMs:    6_000,

		UrgentBeyond:     8,
		FirstRuns:        4,
		FirstRunsMs:      30_000,
		ProveMs:          20_000,
		ReportMaxAgeMs:   60_000,
		ReportHalfMs:     10_000,
		ReportStaleMs:    10_000,
		HarmLimitMilli:   550,
		HarmWaitMs:       300_000,
		HotMilli:         1_000,
		CalmMilli:        600,
		HotReports:       2,
		CalmReports:      3,
		MinStayMs:        15_000,
		MaxLostMs:        60_000,
		TaskEvictions:    2,
		EvictEveryMs:     30_000,
		ProbationMs:      30_000,
		ProbationMaxMs:   1_800_000,
		ReclaimMs:        8_000,
		ReclaimUrgentMs:  1_000,
		ReclaimWaitMs:    30_000,
		KeepMs:           1_000,
		ReclaimGapMs:     2_000,
		ReclaimsPerCall:  2,
		NominateMs:       15_000,
		EvacPerCall:      8,
		EvacEveryMs:      500,
		EvacStayMs:       30_000,
		ZoneFillMs:       30_000,
		BackoffMs:        1_000,
		BackoffMaxMs:     300_000,
		StandingStableMs: 600_000,
		HangMs:           60_000,
		WatchPerCall:     64,
	}
}
