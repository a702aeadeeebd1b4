package dispatch

// Options switches parts of the scheduler on. The zero value has all of them off.
type Options struct {
	// LoadForecast predicts the load of long-running jobs by their period, for the CPU shares of best-effort tasks. Otherwise
	// the current load and its slope are used.
	LoadForecast bool
	// PlaceByForecast uses the predicted loads, if there are any, also for the placement of best-effort tasks and for moves
	// of throttled ones. Otherwise the current load, its slope and its last peak are used.
	PlaceByForecast bool
}
