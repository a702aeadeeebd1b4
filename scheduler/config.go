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
	// MaxAdmissions bounds the jobs checked for admission in one call of Decide.
	MaxAdmissions int
	// MaxCandidates bounds the workers scored for one placement.
	MaxCandidates int
	// RepeatMs is how long a decision that was dropped or not confirmed waits before it is made again.
	RepeatMs int64
	// RiskMarginMs is how long before its latest start a task counts as at risk of missing its deadline.
	RiskMarginMs int64
	// NoDeadlineMs is the deadline, counted from submission, by which jobs without one are ordered.
	NoDeadlineMs int64
	// UrgentAlertMs is how long an urgent task may wait before operators are told.
	UrgentAlertMs int64
}

// DefaultConfig returns the settings for the sizes that the design page names.
func DefaultConfig() Config {
	return Config{
		SettleMs:      30_000,
		MaxStarts:     48,
		MaxTries:      96,
		MaxAdmissions: 256,
		MaxCandidates: 48,
		RepeatMs:      5_000,
		RiskMarginMs:  60_000,
		NoDeadlineMs:  24 * 3_600_000,
		UrgentAlertMs: 6_000,
	}
}
