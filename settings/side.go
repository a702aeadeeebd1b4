package settings

import (
	"time"

	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// Side holds the settings of a side process.
type Side struct {
	// ID is unique among instances.
	ID string
	// Region, Zone and Rack are the instance's location.
	Region string
	Zone   string
	Rack   string
	// Data is the listen address for requests from entries.
	Data string
	// Advertise is the data address that entries connect to; Data if empty.
	Advertise string
	// Entries are the control addresses of entries in the region.
	Entries []string
	// Service is the name of the endpoint's service; empty if the instance has no endpoint.
	Service string
	// EndpointURL is the base URL of the endpoint.
	EndpointURL string
	// Slots is the number of requests that the endpoint serves concurrently.
	Slots int
	// Connections bounds the open connections from entries.
	Connections int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// WorkerURL is the base URL of the platform's worker; empty if the instance has none.
	WorkerURL string
	// Heartbeat is the interval of announcements until an entry's response sets another one.
	Heartbeat time.Duration
	// TLS names the key files for the data listener and for clients; empty for unencrypted connections.
	TLS tlsconf.Files
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// DefaultSide returns the default settings of a side process.
func DefaultSide() Side {
	return Side{Data: "127.0.0.1:0", Slots: 8, Connections: 64, Queue: 16, Heartbeat: time.Second, LogLevel: "info"}
}

func (s *Side) keys() []key {
	const addr = "write an IP address and a port, for example 10.0.0.5:8080"
	return []key{
		{"process", "id", true, text(&s.ID), "give the instance a unique id"},
		{"process", "region", true, text(&s.Region), "name the region, for example midshire"},
		{"process", "zone", true, text(&s.Zone), "name the availability zone, for example midshire-a"},
		{"process", "rack", true, text(&s.Rack), "name the rack"},
		{"process", "log_level", false, oneOf(&s.LogLevel, "debug", "info", "warn", "error"), "use debug, info, warn or error"},
		{"listen", "data", false, address(&s.Data), addr},
		{"listen", "advertise", false, address(&s.Advertise), addr},
		{"entries", "control", true, addressList(&s.Entries), "list control addresses of entries, separated by commas"},
		{"endpoint", "service", false, text(&s.Service), "name the service that the endpoint serves"},
		{"endpoint", "url", false, baseURL(&s.EndpointURL), "write the endpoint's base URL"},
		{"endpoint", "slots", false, number(&s.Slots, 1, 10_000), "write the number of requests served at once"},
		{"endpoint", "connections", false, number(&s.Connections, 1, 100_000), "write the number of connections"},
		{"endpoint", "queue", false, number(&s.Queue, 0, 10_000), "write the number of requests that may wait"},
		{"worker", "url", false, baseURL(&s.WorkerURL), "write the worker's base URL"},
		{"tls", "cert", false, text(&s.TLS.Cert), certRemedy},
		{"tls", "key", false, text(&s.TLS.Key), keyRemedy},
		{"tls", "ca", false, text(&s.TLS.CA), caRemedy},
		{"times", "heartbeat", false, duration(&s.Heartbeat, 50*time.Millisecond, time.Minute), "write a duration, for example 1s"},
	}
}

// CheckSide parses and checks the settings of a side process.
func CheckSide(data []byte) (Side, []Problem) {
	s := DefaultSide()
	problems := check(data, s.keys())
	problems = append(problems, checkTLS(s.TLS, lineNumbers(data))...)
	if (s.Service == "") != (s.EndpointURL == "") {
		problems = append(problems, Problem{Key: "endpoint", Message: "service and url belong together",
			Remedy: "set both keys or neither"})
	}
	if s.Service == "" && s.WorkerURL == "" {
		problems = append(problems, Problem{Key: "endpoint", Message: "the instance has neither an endpoint nor a worker",
			Remedy: "set endpoint.service and endpoint.url, or worker.url"})
	}
	return s, problems
}

// LoadSide reads the settings file of a side process. Its error lists every problem.
func LoadSide(path string) (Side, error) {
	data, err := readFile(path)
	if err != nil {
		return Side{}, err
	}
	s, problems := CheckSide(data)
	return s, asError(path, problems)
}
