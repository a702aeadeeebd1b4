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

// Difference is one field in which two contracts differ.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// diff returns the fields in which contracts differ, in order. Services are compared by name.
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

// fields returns the values of a contract by path.
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

// lowers returns what a contract takes away from the one in force.
func lowers(old config.ContractVersion, new record.Contract) []string {
	if old.Revision == 0 {
		return nil
	}
	o := old.Contract
	var list []string
	for _, n := range []struct {
		name     string
		old, new int64
	}{
		{"guaranteed.cpu_milli", o.Guaranteed.CPUMilli, new.Guaranteed.CPUMilli},
		{"guaranteed.memory_mb", o.Guaranteed.MemoryMB, new.Guaranteed.MemoryMB},
		{"guaranteed.accelerators", o.Guaranteed.Accelerators, new.Guaranteed.Accelerators},
		{"burst.cpu_milli", o.Burst.CPUMilli, new.Burst.CPUMilli},
		{"burst.memory_mb", o.Burst.MemoryMB, new.Burst.MemoryMB},
		{"burst.accelerators", o.Burst.Accelerators, new.Burst.Accelerators},
		{"requests_per_second", int64(o.RequestsPerSecond), int64(new.RequestsPerSecond)},
		{"request_burst", int64(o.RequestBurst), int64(new.RequestBurst)},
		{"concurrency", int64(o.Concurrency), int64(new.Concurrency)},
		{"max_tasks", int64(o.MaxTasks), int64(new.MaxTasks)},
		{"max_queued", int64(o.MaxQueued), int64(new.MaxQueued)},
		{"max_keys", keyLimit(o.MaxKeys), keyLimit(new.MaxKeys)},
		{"priority", rank(o.Priority), rank(new.Priority)},
	} {
		if n.new < n.old {
			list = append(list, fmt.Sprintf("%s is lowered from %d to %d", n.name, n.old, n.new))
		}
	}
	kept := make(map[string]bool)
	for _, s := range new.Services {
		kept["service "+s.Name] = true
	}
	for _, t := range new.TokenSHA256 {
		kept["token with SHA-256 "+t] = true
	}
	for _, s := range o.Services {
		if !kept["service "+s.Name] {
			list = append(list, "service "+s.Name+" is removed; its callers are refused")
		}
	}
	for _, t := range o.TokenSHA256 {
		if !kept["token with SHA-256 "+t] {
			list = append(list, "token with SHA-256 "+t+" is removed; those who use it are refused")
		}
	}
	return list
}

func rank(p record.Priority) int64 {
	switch p {
	case record.Critical:
		return 2
	case record.Standard:
		return 1
	}
	return 0
}

func query(s string) string { return url.QueryEscape(s) }

// keyLimit makes limits of keys comparable; 0 stands for no limit.
func keyLimit(n int) int64 {
	if n == 0 {
		return math.MaxInt64
	}
	return int64(n)
}
