package work

// Units of stored slowdowns.
const (
	// MeanUnit and VarianceUnit are the units in which the mean and the variance of a slowdown are stored.
	MeanUnit     = 0.05
	VarianceUnit = 0.01
)

// Interference is the stored estimate of how best-effort tasks slow down latency-critical tasks, read by the next decider.
type Interference struct {
	// These are the best-effort and the latency-critical images. Slowdowns refer to them by index.
	BestEffortImages      []string `cbor:"1,keyasint"`
	LatencyCriticalImages []string `cbor:"2,keyasint"`
	// Demand is the work of each best-effort image that was placed, in core-seconds.
	Demand []int64 `cbor:"3,keyasint"`
	// IdleMs is the lowest tail latency of each latency-critical image in milliseconds; 0 if none was observed.
	IdleMs    []int64        `cbor:"4,keyasint"`
	Slowdowns []PairSlowdown `cbor:"5,keyasint"`
}

// PairSlowdown is the slowdown that a best-effort image causes to a latency-critical image.
type PairSlowdown struct {
	_                           struct{} `cbor:",toarray"`
	BestEffort, LatencyCritical int
	// Mean and Variance are in MeanUnit and VarianceUnit.
	Mean, Variance int
}
