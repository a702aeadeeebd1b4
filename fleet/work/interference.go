package work

// Units of stored pressures.
const (
	// MeanUnit and VarianceUnit are the steps in which the mean and the variance of a pressure are stored.
	MeanUnit     = 0.05
	VarianceUnit = 0.01
)

// Interference is what a decider keeps for the next one of how fillers slow down tasks that serve.
type Interference struct {
	// Fillers and Serving name images. Pressures refer to them by their place.
	Fillers []string `cbor:"1,keyasint"`
	Serving []string `cbor:"2,keyasint"`
	// Demand is the work of each filler's image that was placed, in core-seconds.
	Demand []int64 `cbor:"3,keyasint"`
	// IdleMs is the shortest tail of each serving image in milliseconds; 0 if none was seen.
	IdleMs    []int64        `cbor:"4,keyasint"`
	Pressures []PairPressure `cbor:"5,keyasint"`
}

// PairPressure is the pressure of a filler's image on a serving image.
type PairPressure struct {
	_               struct{} `cbor:",toarray"`
	Filler, Serving int
	// Mean and Variance are in MeanUnit and VarianceUnit.
	Mean, Variance int
}
