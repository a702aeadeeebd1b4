package dispatch

// Options selects between variants of decisions. The zero value is the default.
type Options struct {
	// Order is the order of jobs within a priority.
	Order Order
}

// Order is a way to order the jobs of one priority.
type Order uint8

const (
	// OrderScarcity defers, where capacity does not suffice, the jobs with the most remaining work for their weight.
	OrderScarcity Order = iota
	// OrderDeadline orders by deadline and defers the jobs with the most remaining work.
	OrderDeadline
)
