package scheduler

// Config holds the settings of the policy. All times are in milliseconds.
type Config struct {
	// SettleMs is the time after the first worker joined from which the fleet counts as complete, and the time for
	// which the capacity of a removed worker still counts as available in the fleet.
	SettleMs int64
	// MaxStarts bounds the starts in one call of Decide.
	MaxStarts int
	// MaxPlacements bounds the placements tried in one call of Decide.
	MaxPlacements int
	// MaxScanned bounds the workers scanned in one call of Decide; the placement that reaches it is the last.
	MaxScanned int
	// MaxAdmissions bounds the jobs checked for admission in one call of Decide.
	MaxAdmissions int
	// MaxCandidates bounds the workers scored for one placement.
	MaxCandidates int
	// RepeatMs is the time after which a decision that was dropped or not confirmed is made again.
	RepeatMs int64
	// RiskMarginMs is the time before its latest start from which a task counts as at risk of missing its deadline.
	RiskMarginMs int64
	// NoDeadlineFactor times the expected run time, counted from the submission, is the latest start by which a job
	// without a deadline is ordered. NoDeadlineMs bounds it.
	NoDeadlineFactor, NoDeadlineMs int64
	// UrgentAlertMs is how long an urgent task may wait before operators are alerted.
	UrgentAlertMs int64
	// MaxUrgentOverGuarantee bounds the urgent tasks of a customer that are placed before all others although the
	// customer uses more than its guaranteed share.
	MaxUrgentOverGuarantee int
	// MaxUnmeasured bounds the running tasks of a class until its task sizes were measured.
	MaxUnmeasured int
	// UnmeasuredBoundMs is the time after the first start of a class for which this bound holds if no usage is
	// reported.
	UnmeasuredBoundMs int64
	// VerifyMs is how long an attempt must run without failure to count as verified if no usage is reported.
	VerifyMs int64
	// ReportMaxAgeMs is the age beyond which a usage report is ignored.
	ReportMaxAgeMs int64
	// ReportHalfMs is the age at which a usage report has half the weight of a new one.
	ReportHalfMs int64
	// ReportStaleMs is the age of a worker's newest report from which the worker's score is reduced.
	ReportStaleMs int64
	// SlowdownLimitMilli is the expected slowdown of a service, in thousandths, beyond which no batch task is added to
	// its worker unless the task is urgent or at risk.
	SlowdownLimitMilli int64
	// SlowdownRelaxMs is how long a task waits before that limit is raised for it; it is raised by its own value in
	// each further period of this length.
	SlowdownRelaxMs int64
	// ThrottleAboveMilli and RestoreBelowMilli are the slowdowns of a service, in thousandths, above which batch tasks
	// on its worker are throttled and below which throttles are lifted.
	ThrottleAboveMilli, RestoreBelowMilli int64
	// ThrottleReports and RestoreReports are the numbers of consecutive reports that either takes.
	ThrottleReports, RestoreReports int
	// MinStayMs is how long a task runs on a worker before it may be evicted for a service.
	MinStayMs int64
	// MaxLostMs bounds the run time that an eviction may lose, other than from a zone that is out of service.
	MaxLostMs int64
	// MaxTaskEvictions bounds the evictions of a task for a service; a job has the same number and one more for every
	// four tasks.
	MaxTaskEvictions int
	// EvictionIntervalMs is the time between two evictions for a service from one worker.
	EvictionIntervalMs int64
	// ProbationMs is the first time between trials of a worker on probation; it doubles up to ProbationMaxMs.
	ProbationMs, ProbationMaxMs int64
	// ReclaimMs is how long a task within its customer's guaranteed share waits before lent capacity is reclaimed for
	// it, and ReclaimUrgentMs how long an urgent one waits.
	ReclaimMs, ReclaimUrgentMs int64
	// ReclaimWaitMs is how long a task within its customer's guaranteed share that is not urgent may wait for capacity
	// that running tasks are expected to free, before lent capacity is reclaimed by evictions. It counts from the last
	// start of its customer.
	ReclaimWaitMs int64
	// NominateAfterMs is how long a task within its customer's guaranteed share waits before the free capacity of a
	// worker is reserved for it.
	NominateAfterMs int64
	// ReclaimGapMs is how long no task of the customer must have started before capacity is reclaimed for it.
	ReclaimGapMs int64
	// ReclaimsPerCall bounds the tasks for which capacity is reclaimed in one call of Decide.
	ReclaimsPerCall int
	// NominateMs is how long freed capacity is reserved for the job for which it was freed.
	NominateMs int64
	// EvacPerCall bounds the evictions from a zone that is out of service in one call of Decide.
	EvacPerCall int
	// EvacIntervalMs is the time between evictions from a zone that is out of service when the other zones have no free
	// capacity.
	EvacIntervalMs int64
	// EvacGraceMs is the grace period in which a batch task of a zone that is taken out of service may finish there.
	EvacGraceMs int64
	// ZoneRampUpMs is the time over which load is added to a zone that was brought back.
	ZoneRampUpMs int64
	// BackoffMs is the first backoff before a long-running task is restarted; it doubles up to BackoffMaxMs.
	BackoffMs, BackoffMaxMs int64
	// LongRunningStableMs is how long a long-running task must run before its backoff is reset.
	LongRunningStableMs int64
	// HangTimeoutMs is how long a long-running task may report no progress.
	HangTimeoutMs int64
	// ChecksPerCall bounds the long-running tasks and, separately, the deadlines checked in one call of Decide.
	ChecksPerCall int
}

// DefaultConfig returns the settings for the fleet sizes given in the design page.
func DefaultConfig() Config {
	return Config{
		SettleMs:      30_000,
		MaxStarts:     32,
		MaxPlacements: 32,
		MaxScanned:    700,
		MaxAdmissions: 256,
		MaxCandidates: 48,
		RepeatMs:      5_000,
		RiskMarginMs:  60_000,
		NoDeadlineMs:  24 * 3_600_000,

		NoDeadlineFactor: 20,
		UrgentAlertMs:    6_000,

		MaxUrgentOverGuarantee: 8,
		MaxUnmeasured:          4,
		UnmeasuredBoundMs:      30_000,
		VerifyMs:               20_000,
		ReportMaxAgeMs:         60_000,
		ReportHalfMs:           10_000,
		ReportStaleMs:          10_000,
		SlowdownLimitMilli:     550,
		SlowdownRelaxMs:        300_000,
		ThrottleAboveMilli:     1_000,
		RestoreBelowMilli:      600,
		ThrottleReports:        2,
		RestoreReports:         3,
		MinStayMs:              15_000,
		MaxLostMs:              60_000,
		MaxTaskEvictions:       2,
		EvictionIntervalMs:     30_000,
		ProbationMs:            30_000,
		ProbationMaxMs:         1_800_000,
		ReclaimMs:              8_000,
		ReclaimUrgentMs:        1_000,
		ReclaimWaitMs:          30_000,
		NominateAfterMs:        1_000,
		ReclaimGapMs:           2_000,
		ReclaimsPerCall:        2,
		NominateMs:             15_000,
		EvacPerCall:            8,
		EvacIntervalMs:         500,
		EvacGraceMs:            30_000,
		ZoneRampUpMs:           30_000,
		BackoffMs:              1_000,
		BackoffMaxMs:           300_000,
		LongRunningStableMs:    600_000,
		HangTimeoutMs:          60_000,
		ChecksPerCall:          64,
	}
}
