package settings

import (
	"fmt"
	"net"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/bounds"
)

// Fleet holds the settings of a process on the users' platform.
type Fleet struct {
	// Instance, Zone and Region are the location of the process.
	Instance, Zone, Region string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// MemoryMB and Cores limit the resources of the process; Cores may be a fraction of a core.
	MemoryMB int
	Cores    float64
	// MaxFDs limits the descriptors of the process; 0 for the limit of the operating system alone.
	MaxFDs int
	// Intake holds the bounds on what the process reads from its listeners.
	Intake Intake
	// Public is the listen address for callers, Ready that for the load balancer's readiness checks; both are empty at side
	// processes.
	Public, Ready string
	// Control is the listen address for the worker's heartbeats; empty at entries.
	Control string
	// Peer is the listen address for connections of the decider, Metrics that for metrics.
	Peer, Metrics string
	// Advertise is the address at which other processes reach Peer; the bound address if empty.
	Advertise string
	// Store is the address of the platform's log, Adviser that of the adviser; Adviser may be empty.
	Store, Adviser string
	// RecordBytes and AppendBytes are the log's limits on a record and on the records of one append, in bytes.
	RecordBytes, AppendBytes int
	// Worker is the address of the worker on this instance, Service the name of its service; both are empty at entries.
	Worker, Service string
	// Admission is backlog if submissions that could not end in time are refused, else off.
	Admission string
	// Bounds are the deployment's bounds and the times derived from them.
	Bounds bounds.Bounds
	// Order is the order of jobs within a priority, deadline or scarcity; Durations is the source of the durations of tasks,
	// declared or learned.
	Order, Durations string
	// LoadForecast is ForecastOff, ForecastShares or ForecastHarmonic.
	LoadForecast string
}

// Values of Fleet.Admission, Fleet.Order and Fleet.Durations.
const (
	AdmissionOff      = "off"
	AdmissionBacklog  = "backlog"
	OrderDeadline     = "deadline"
	OrderScarcity     = "scarcity"
	DurationsDeclared = "declared"
	DurationsLearned  = "learned"
)

// Values of Fleet.LoadForecast: the loads of long-running jobs are not predicted, or predicted by their period for CPU shares
// only, or for CPU shares and placement.
const (
	ForecastOff      = "off"
	ForecastShares   = "shares"
	ForecastHarmonic = "harmonic"
)

// Intake holds the bounds on what a process reads from its listeners.
type Intake struct {
	// BudgetKB bounds the bytes in reading of all connections, ReserveKB is the reserve for small requests, Connections bounds
	// the open connections; 0 for shares of the memory and the descriptors.
	BudgetKB, ReserveKB, Connections int
	// HeaderTimeout and BodyTimeout bound the time for a header and a body.
	HeaderTimeout, BodyTimeout time.Duration
	// MinRate is the lowest rate of a body in bytes per second, applied after its first 4 s.
	MinRate int
}

// Default bounds on intake. A client inside the limits sends its request within its timeout of 3 s.
const (
	defaultIntakeTimeout = 10 * time.Second
	defaultMinRate       = 16 << 10
)

// PeerAddress returns the address at which other processes reach the peer listener that is bound to the given address.
func (f *Fleet) PeerAddress(bound net.Addr) string {
	if f.Advertise != "" {
		return f.Advertise
	}
	return bound.String()
}

// DefaultFleet returns the default settings. The default bounds are the platform's usual values.
func DefaultFleet() Fleet {
	return Fleet{LogLevel: "info", MemoryMB: 128, Cores: 1, RecordBytes: 256 << 10, AppendBytes: 2 << 20, Admission: AdmissionOff, Order: OrderDeadline, Durations: DurationsDeclared, LoadForecast: ForecastOff,
		Intake: Intake{HeaderTimeout: defaultIntakeTimeout, BodyTimeout: defaultIntakeTimeout, MinRate: defaultMinRate}, Bounds: bounds.Bounds{
			MaxLease: 6 * time.Second, Grace: 6 * time.Second,
			MaxOverTarget: 4 * time.Second, MaxStartDelay: 4500 * time.Millisecond, StatusRetention: 120 * time.Second, OffRackFactor: 1.5,
			Restore: 600 * time.Millisecond, StarvationLimit: 14 * time.Second}}
}

func (f *Fleet) keys(entry bool) []key {
	const addr = "write an IP address and a port, for example 10.0.0.5:8080"
	optionalDuration := func(into *time.Duration) value { return optional(duration(into, 0, time.Hour)) }
	const durationRemedy = "write a duration, for example 3000ms"
	b := &f.Bounds
	return []key{
		{"process", "instance", true, text(&f.Instance), "name the instance"},
		{"process", "zone", true, text(&f.Zone), "name the availability zone, for example midshire-a"},
		{"process", "region", false, optional(text(&f.Region)), "name the region, for example midshire"},
		{"process", "log_level", false, oneOf(&f.LogLevel, "debug", "info", "warn", "error"), "use debug, info, warn or error"},
		{"limits", "memory_mb", false, number(&f.MemoryMB, 16, 1<<20), "write a number of MB"},
		{"limits", "cores", false, fraction(&f.Cores, 0.01, 1024), "write a number of cores, for example 0.25"},
		{"limits", "max_fds", false, optional(number(&f.MaxFDs, 0, 1<<20)), "write a number of descriptors, or nothing"},
		{"intake", "budget_kb", false, optional(number(&f.Intake.BudgetKB, 0, 1<<30)), "write a number of KB, or nothing"},
		{"intake", "reserve_kb", false, optional(number(&f.Intake.ReserveKB, 0, 1<<30)), "write a number of KB, or nothing"},
		{"intake", "connections", false, optional(number(&f.Intake.Connections, 0, 1<<20)), "write a number of connections, or nothing"},
		{"intake", "header_timeout", false, optional(duration(&f.Intake.HeaderTimeout, time.Second, time.Hour)), durationRemedy},
		{"intake", "body_timeout", false, optional(duration(&f.Intake.BodyTimeout, time.Second, time.Hour)), durationRemedy},
		{"intake", "min_rate", false, optional(number(&f.Intake.MinRate, 1, 1<<30)), "write a number of bytes per second"},
		{"listen", "public", entry, optional(address(&f.Public)), addr},
		{"listen", "ready", entry, optional(address(&f.Ready)), addr},
		{"listen", "control", !entry, optional(address(&f.Control)), addr},
		{"listen", "peer", true, address(&f.Peer), addr},
		{"listen", "advertise", false, optional(address(&f.Advertise)), addr},
		{"listen", "metrics", false, optional(address(&f.Metrics)), addr},
		{"services", "store", true, address(&f.Store), addr},
		{"services", "record_bytes", false, optional(number(&f.RecordBytes, 16<<10, 1<<30)), "write the store's limit on a record in bytes"},
		{"services", "append_bytes", false, optional(number(&f.AppendBytes, 16<<10, 1<<30)), "write the store's limit on the records of one append in bytes"},
		{"services", "adviser", false, optional(address(&f.Adviser)), addr},
		{"worker", "address", !entry, optional(address(&f.Worker)), addr},
		{"worker", "service", !entry, optional(text(&f.Service)), "name the service of the worker"},
		{"bounds", "hold_max", false, optionalDuration(&b.MaxLease), durationRemedy},
		{"bounds", "grace", false, optionalDuration(&b.Grace), durationRemedy},
		{"bounds", "harm", false, optionalDuration(&b.MaxOverTarget), durationRemedy},
		{"bounds", "notice", false, optionalDuration(&b.MaxStartDelay), durationRemedy},
		{"bounds", "status", false, optionalDuration(&b.StatusRetention), durationRemedy},
		{"bounds", "far_factor", false, optional(fraction(&b.OffRackFactor, 1, 1000)), "write a factor, for example 1.5"},
		{"bounds", "restore", false, optionalDuration(&b.Restore), durationRemedy},
		{"bounds", "finish", false, optionalDuration(&b.StarvationLimit), durationRemedy},
		{"scheduling", "admission", false, optional(oneOf(&f.Admission, AdmissionOff, AdmissionBacklog)), "use off or backlog"},
		{"scheduling", "order", false, optional(oneOf(&f.Order, OrderDeadline, OrderScarcity)), "use deadline or scarcity"},
		{"scheduling", "durations", false, optional(oneOf(&f.Durations, DurationsDeclared, DurationsLearned)), "use declared or learned"},
		{"scheduling", "load_forecast", false, optional(oneOf(&f.LoadForecast, ForecastOff, ForecastShares, ForecastHarmonic)), "use off, shares or harmonic"},
	}
}

// optional returns a value that keeps its default if the key is empty: the template renders fields that a deployment does
// not set as empty values.
func optional(v value) value {
	set := v.set
	v.set = func(text string) error {
		// For a duration that is not set, the template renders the unit alone.
		if text == "" || text == "ms" || text == "s" {
			return nil
		}
		return set(text)
	}
	return v
}

func fraction(into *float64, low, high float64) value {
	return value{fmt.Sprint(*into), fmt.Sprintf("%g to %g", low, high), func(text string) error {
		var v float64
		if _, err := fmt.Sscanf(text, "%g", &v); err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		if v < low || v > high {
			return fmt.Errorf("%g is outside %g to %g", v, low, high)
		}
		*into = v
		return nil
	}}
}

// CheckFleet parses and checks the settings of an entry or a side process on the users' platform.
func CheckFleet(data []byte, entry bool) (Fleet, []Problem) {
	f := DefaultFleet()
	problems := check(data, f.keys(entry))
	if entry && f.Public == "" {
		problems = append(problems, Problem{Key: "listen.public", Message: "is empty", Remedy: "write the address for callers"})
	}
	if !entry && (f.Control == "" || f.Worker == "") {
		problems = append(problems, Problem{Key: "worker.address", Message: "the worker or the address for its heartbeats is missing",
			Remedy: "set listen.control and worker.address"})
	}
	f.Bounds = f.Bounds.Derive()
	return f, problems
}

// LoadFleet reads the settings file of a process on the users' platform. Its error lists every problem.
func LoadFleet(path string, entry bool) (Fleet, error) {
	data, err := readFile(path)
	if err != nil {
		return Fleet{}, err
	}
	f, problems := CheckFleet(data, entry)
	return f, asError(path, problems)
}
