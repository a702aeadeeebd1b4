package dispatch

// Options selects between variants of decisions. The zero value is the default.
type Options struct {
	// Order is the order of jobs within a priority.
	Order Order
	// Durations tells where the durations of tasks come from.
	Durations Durations
}

// Order is a way to order the jobs of one priority.
type Order uint8

const (
	// OrderScarcity defers, where capacity does not suffice, the jobs with the most remaining work for their weight.
	OrderScarcity Order = iota
	// OrderDeadline orders by deadline and defers the jobs with the most remaining work.
	OrderDeadline
)

// Durations is a source of the durations of tasks.
type Durations uint8

const (
	// DurationsLearned corrects declared durations by those that were measured.
	DurationsLearned Durations = iota
	// DurationsDeclared uses the declared durations as they are.
	DurationsDeclared
)
