package dispatch

// Options switches parts of the scheduler on. The zero value has all of them off.
type Options struct {
	// LoadForecast predicts the load of long-running jobs by their period, for CPU shares and the placement of
	// best-effort tasks. Otherwise the current load, its slope and its last peak are used.
	LoadForecast bool
}
