package operator

import (
	"encoding/json"
	"fmt"
	"math"
	"net/url"
	"sort"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/record"
)

// Difference is a field whose value differs between two contracts.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// diff returns the fields in which two contracts differ, sorted by path. Services are matched by name.
func diff(old, new record.Contract) []Difference {
	a, b := fields(old), fields(new)
	names := make(map[string]bool)
	for n := range a {
		names[n] = true
	}
	for n := range b {
		names[n] = true
	}
	list := []Difference{}
	for n := range names {
		if a[n] != b[n] {
			list = append(list, Difference{n, orDash(a[n]), orDash(b[n])})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Field < list[j].Field })
	return list
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// fields returns the values of a contract as JSON texts, keyed by the path of the field.
func fields(c record.Contract) map[string]string {
	values := make(map[string]string)
	services := c.Services
	c.Services = nil
	flatten("", c, values)
	for _, s := range services {
		flatten("services["+s.Name+"]", s, values)
	}
	return values
}

func flatten(path string, v any, into map[string]string) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	var object map[string]json.RawMessage
	if json.Unmarshal(data, &object) != nil {
		if text := string(data); text != "null" {
			into[path] = text
		}
		return
	}
	for key, value := range object {
		name := key
		if path != "" {
			name = path + "." + key
		}
		flatten(name, value, into)
	}
}

// reductions lists the limits that a new contract lowers and the services and tokens that it removes. A first contract
// reduces nothing.
func reductions(old config.ContractVersion, new record.Contract) []string {
	if old.Revision == 0 {
		return nil
	}
	inForce := old.Contract
	var list []string
	for _, limit := range []struct {
		name     string
		old, new int64
	}{
		{"guaranteed.cpu_milli", inForce.Guaranteed.CPUMilli, new.Guaranteed.CPUMilli},
		{"guaranteed.memory_mb", inForce.Guaranteed.MemoryMB, new.Guaranteed.MemoryMB},
		{"guaranteed.accelerators", inForce.Guaranteed.Accelerators, new.Guaranteed.Accelerators},
		{"burst.cpu_milli", inForce.Burst.CPUMilli, new.Burst.CPUMilli},
		{"burst.memory_mb", inForce.Burst.MemoryMB, new.Burst.MemoryMB},
		{"burst.accelerators", inForce.Burst.Accelerators, new.Burst.Accelerators},
		{"requests_per_second", int64(inForce.RequestsPerSecond), int64(new.RequestsPerSecond)},
		{"request_burst", int64(inForce.RequestBurst), int64(new.RequestBurst)},
		{"concurrency", int64(inForce.Concurrency), int64(new.Concurrency)},
		{"max_tasks", int64(inForce.MaxTasks), int64(new.MaxTasks)},
		{"max_queued", int64(inForce.MaxQueued), int64(new.MaxQueued)},
		{"max_keys", keyLimit(inForce.MaxKeys), keyLimit(new.MaxKeys)},
		{"priority", priorityRank(inForce.Priority), priorityRank(new.Priority)},
	} {
		if limit.new < limit.old {
			list = append(list, fmt.Sprintf("%s is lowered from %d to %d", limit.name, limit.old, limit.new))
		}
	}
	kept := make(map[string]bool)
	for _, s := range new.Services {
		kept["service "+s.Name] = true
	}
	for _, t := range new.TokenSHA256 {
		kept["token with SHA-256 "+t] = true
	}
	for _, s := range inForce.Services {
		if !kept["service "+s.Name] {
			list = append(list, "service "+s.Name+" is removed; requests to it will be rejected")
		}
	}
	for _, t := range inForce.TokenSHA256 {
		if !kept["token with SHA-256 "+t] {
			list = append(list, "token with SHA-256 "+t+" is removed; requests with it will be rejected")
		}
	}
	return list
}

func priorityRank(p record.Priority) int64 {
	switch p {
	case record.Critical:
		return 2
	case record.Standard:
		return 1
	}
	return 0
}

func escapeQuery(s string) string { return url.QueryEscape(s) }

// keyLimit maps max_keys to a comparable value; 0 means no limit.
func keyLimit(n int) int64 {
	if n == 0 {
		return math.MaxInt64
	}
	return int64(n)
}
