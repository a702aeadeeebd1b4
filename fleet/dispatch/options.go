package dispatch

// Options are the settings of a decider. The zero value turns every option off.
type Options struct {
	// Order is the order of jobs within a priority.
	Order Order
	// Durations tells where the durations of tasks come from.
	Durations Durations
	// PublishBacklog makes the decider publish the expected wait of new work while there is too little capacity.
	PublishBacklog bool
	// LoadForecast predicts the load of long-running jobs by their period, for the CPU shares of best-effort tasks. Otherwise
	// the current load and its slope are used.
	LoadForecast bool
	// PlaceByForecast uses the predicted loads, if there are any, also for the placement of best-effort tasks and for moves
	// of throttled ones. Otherwise the current load, its slope and its last peak are used.
	PlaceByForecast bool
	// MaxOpenOccurrences lowers the bound work.MaxOpenOccurrences on the open occurrences of a job; 0 leaves it as it is.
	MaxOpenOccurrences int
	// MaxRecordBytes and MaxAppendBytes are the store's limits on a record and on the records of one append; 0 stands for the platform's
	// usual ones.
	MaxRecordBytes, MaxAppendBytes int
}

// Order is a way to order the jobs of one priority.
type Order uint8

const (
	// OrderDeadline orders by deadline and defers the jobs with the most remaining work.
	OrderDeadline Order = iota
	// OrderScarcity defers, where capacity does not suffice, the jobs with the most remaining work for their weight.
	OrderScarcity
)

// Durations is a source of the durations of tasks.
type Durations uint8

const (
	// DurationsDeclared uses the declared durations as they are.
	DurationsDeclared Durations = iota
	// DurationsLearned corrects declared durations by those that were measured.
	DurationsLearned
)
