package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// Entry holds the settings of an entry instance.
type Entry struct {
	// ID is unique among entries.
	ID string
	// Region and Zone are the instance's location.
	Region string
	Zone   string
	// Public is the listen address for callers and customers.
	Public string
	// Operator is the listen address for operators, metrics and health checks.
	Operator string
	// Control is the listen address for the system's own processes.
	Control string
	// Advertise is the control address that other processes connect to; Control if empty.
	Advertise string
	// LogURL is the base URL of the platform's log service.
	LogURL string
	// ConfigLogURL is the base URL of the log that holds the configuration of all regions; LogURL if empty.
	ConfigLogURL string
	// Peers are the control addresses of other entries in the region.
	Peers []string
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' token; if it is empty, operators need no token.
	OperatorTokenSHA256 string
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// TLS names the key files for the operator and control listeners and for clients; empty for unencrypted connections.
	TLS tlsconf.Files
	// Heartbeat is the target interval of announcements.
	Heartbeat time.Duration
	// Routing is the load balancing policy: least_loaded, or random or round_robin as baselines for measurements.
	Routing string
	// Decider and Authority hold the timing parameters of the decider.
	Decider   decider.Config
	Authority authority.Config
	// SnapshotEvery is the number of records between snapshots.
	SnapshotEvery int
	// SnapshotInterval is the longest time between snapshots; it must be at most a quarter of the log's retention.
	SnapshotInterval time.Duration
	// ClaimsMB is the memory for idempotency keys and stored responses of requests that may run at most once, in MiB. Up to
	// twice as much is used while many customers share it.
	ClaimsMB int
	// AppendsPerSecond limits the appends of this process, SnapshotAppends those among them that write snapshots.
	AppendsPerSecond, SnapshotAppends int
}

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{
		Public: "127.0.0.1:0", Operator: "127.0.0.1:0", Control: "127.0.0.1:0", LogLevel: "info",
		Heartbeat: time.Second, Routing: "least_loaded", Decider: decider.DefaultConfig(), Authority: authority.DefaultConfig(),
		SnapshotEvery: 5000, SnapshotInterval: time.Hour, AppendsPerSecond: 100, SnapshotAppends: 5, ClaimsMB: 24,
	}
}

func (e *Entry) keys() []key {
	const addr = "write an IP address and a port, for example 10.0.0.5:8080"
	const dur = "write a duration, for example 1500ms or 10s"
	return []key{
		{"process", "id", true, text(&e.ID), "give the entry a unique id"},
		{"process", "region", true, text(&e.Region), "name the region, for example midshire"},
		{"process", "zone", true, text(&e.Zone), "name the availability zone, for example midshire-a"},
		{"process", "log_level", false, oneOf(&e.LogLevel, "debug", "info", "warn", "error"), "use debug, info, warn or error"},
		{"listen", "public", false, address(&e.Public), addr},
		{"listen", "operator", false, address(&e.Operator), addr},
		{"listen", "control", false, address(&e.Control), addr},
		{"listen", "advertise", false, address(&e.Advertise), addr},
		{"platform", "log", true, baseURL(&e.LogURL), "write the log's base URL, for example http://10.0.0.2:7000"},
		{"platform", "config_log", false, baseURL(&e.ConfigLogURL), "write the base URL of the log that holds the configuration, or leave the key out"},
		{"peers", "entries", false, addressList(&e.Peers), "list control addresses of other entries, separated by commas"},
		{"operators", "token_sha256", false, sha256Hex(&e.OperatorTokenSHA256), "give the 64 hex digits of the token's SHA-256"},
		{"tls", "cert", false, text(&e.TLS.Cert), certRemedy},
		{"tls", "key", false, text(&e.TLS.Key), keyRemedy},
		{"tls", "ca", false, text(&e.TLS.CA), caRemedy},
		{"routing", "policy", false, oneOf(&e.Routing, "least_loaded", "random", "round_robin"), "use least_loaded, random or round_robin"},
		{"times", "heartbeat", false, duration(&e.Heartbeat, 50*time.Millisecond, time.Minute), dur},
		{"times", "task_lease", false, duration(&e.Decider.TaskLease, time.Second, time.Hour), dur},
		{"times", "service_lease", false, duration(&e.Decider.ServiceLease, time.Second, 24*time.Hour), dur},
		{"times", "permit_ttl", false, duration(&e.Decider.PermitTTL, 100*time.Millisecond, 2*time.Second), dur},
		{"times", "config_freshness", false, duration(&e.Decider.ConfigFreshness, 200*time.Millisecond, 2*time.Second), dur},
		{"times", "poll_every", false, duration(&e.Decider.PollEvery, 50*time.Millisecond, time.Minute), dur},
		{"times", "silent_after", false, duration(&e.Decider.SilentAfter, 200*time.Millisecond, 10*time.Minute), dur},
		{"times", "authority_ttl", false, duration(&e.Authority.TTL, 500*time.Millisecond, time.Minute), dur},
		{"times", "authority_max", false, duration(&e.Authority.MaxOnPromises, time.Second, 24*time.Hour), dur},
		{"times", "decider_silence", false, duration(&e.Authority.DeciderTimeout, 300*time.Millisecond, time.Minute), dur},
		{"snapshots", "every_records", false, number(&e.SnapshotEvery, 10, 1_000_000), "write a number of records"},
		{"snapshots", "interval", false, duration(&e.SnapshotInterval, time.Second, 24*time.Hour), dur},
		{"snapshots", "appends_per_second", false, number(&e.SnapshotAppends, 1, 1000), "write a number of appends a second"},
		{"claims", "memory_mb", false, number(&e.ClaimsMB, 1, 65_536), "write a number of MiB"},
		{"log", "appends_per_second", false, number(&e.AppendsPerSecond, 10, 10_000), "write a number of appends a second"},
	}
}

// maxStartAfterZoneOut is the time after which no task may start in a zone that was taken out of service.
const maxStartAfterZoneOut = 3 * time.Second

// CheckEntry parses and checks the settings of an entry.
func CheckEntry(data []byte) (Entry, []Problem) {
	e := DefaultEntry()
	problems := check(data, e.keys())
	lines := lineNumbers(data)
	if e.Decider.PermitTTL+e.Decider.ConfigFreshness >= maxStartAfterZoneOut {
		problems = append(problems, Problem{lines["times.permit_ttl"], "times.permit_ttl",
			fmt.Sprintf("permit_ttl and config_freshness together must stay below %s", maxStartAfterZoneOut),
			"lower one of them; tasks could otherwise start for longer in a zone taken out of service"})
	}
	if e.Decider.PollEvery*3 > e.Decider.TaskLease {
		problems = append(problems, Problem{lines["times.task_lease"], "times.task_lease",
			"must be at least three times poll_every", "raise task_lease or lower poll_every; a single lost poll could otherwise end tasks"})
	}
	if e.Decider.SilentAfter <= e.Decider.PollEvery {
		problems = append(problems, Problem{lines["times.silent_after"], "times.silent_after",
			"must be longer than poll_every", "raise silent_after or lower poll_every; workers that poll in time would count as unresponsive"})
	}
	problems = append(problems, checkListeners(e, lines)...)
	problems = append(problems, checkTLS(e.TLS, lines)...)
	if e.ConfigLogURL == "" {
		e.ConfigLogURL = e.LogURL
	}
	if e.Advertise == "" {
		e.Advertise = e.Control
	}
	return e, problems
}

// checkListeners reports listeners that share an address and cannot both be bound.
func checkListeners(e Entry, lines map[string]int) []Problem {
	var problems []Problem
	keyByAddress := make(map[string]string)
	for _, l := range []struct{ key, address string }{{"listen.public", e.Public}, {"listen.operator", e.Operator}, {"listen.control", e.Control}} {
		if strings.HasSuffix(l.address, ":0") {
			continue
		}
		if other, used := keyByAddress[l.address]; used {
			problems = append(problems, Problem{lines[l.key], l.key, "is the address of " + other + " too", "give each listener an address of its own"})
		}
		keyByAddress[l.address] = l.key
	}
	return problems
}

// LoadEntry reads the settings file of an entry. Its error lists every problem.
func LoadEntry(path string) (Entry, error) {
	data, err := readFile(path)
	if err != nil {
		return Entry{}, err
	}
	e, problems := CheckEntry(data)
	return e, asError(path, problems)
}

func oneOf(into *string, allowed ...string) value {
	return value{*into, strings.Join(allowed, ", "), func(v string) error {
		for _, a := range allowed {
			if v == a {
				*into = v
				return nil
			}
		}
		return fmt.Errorf("%q is not allowed", v)
	}}
}

func sha256Hex(into *string) value {
	return value{*into, "64 lower-case hex digits", func(v string) error {
		if len(v) != 64 {
			return fmt.Errorf("is not a SHA-256 sum")
		}
		for _, c := range v {
			if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
				return fmt.Errorf("is not lower-case hex")
			}
		}
		*into = v
		return nil
	}}
}
