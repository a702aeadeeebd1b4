// Package settings reads and validates INI settings files. It reports all problems of a file at once, each with its line,
// key and remedy.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Problem is one error in a settings file.
type Problem struct {
	// Line is the line in the file, from 1; 0 if the key is missing.
	Line int
	// Key is the section and key, joined by a dot.
	Key string
	// Message says what is wrong.
	Message string
	// Remedy says what to do.
	Remedy string
}

// String returns the problem in the form that messages show.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s; %s", p.Key, p.Message, p.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Key, p.Message, p.Remedy)
}

// value describes the value of a key.
type value struct {
	// def is the default; empty if there is none.
	def string
	// allowed describes the allowed values.
	allowed string
	// set parses the value and stores it; its error says why the value is invalid.
	set func(value string) error
}

// key describes one key of a settings file.
type key struct {
	section, name string
	required      bool
	value
	// remedy describes a valid value.
	remedy string
}

// check parses data, stores the value of each key and returns all problems.
func check(data []byte, keys []key) []Problem {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, data)
	if err != nil {
		return []Problem{{Key: "file", Message: err.Error(), Remedy: "write [section] headers and key = value lines"}}
	}
	lines := lineNumbers(data)
	var problems []Problem
	known := make(map[string]bool, len(keys))
	for _, k := range keys {
		name := k.section + "." + k.name
		known[name] = true
		sec := file.Section(k.section)
		if !sec.HasKey(k.name) {
			if k.required {
				problems = append(problems, Problem{Key: name, Message: "is missing", Remedy: k.remedy})
			}
			continue
		}
		if values := sec.Key(k.name).ValueWithShadows(); len(values) > 1 {
			problems = append(problems, Problem{lines[name], name, "is set more than once", "keep one line"})
			continue
		}
		if err := k.set(strings.TrimSpace(sec.Key(k.name).String())); err != nil {
			problems = append(problems, Problem{lines[name], name, err.Error(), k.remedy})
		}
	}
	return append(problems, unknownKeys(file, known, lines)...)
}

func unknownKeys(file *ini.File, known map[string]bool, lines map[string]int) []Problem {
	var problems []Problem
	for _, sec := range file.Sections() {
		for _, k := range sec.Keys() {
			name := sec.Name() + "." + k.Name()
			if !known[name] {
				problems = append(problems, Problem{lines[name], name, "is not a setting", "remove the line or correct its name"})
			}
		}
	}
	return problems
}

// lineNumbers maps section.key to the last line that sets it. The INI library does not record line numbers.
func lineNumbers(data []byte) map[string]int {
	lines := make(map[string]int)
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			continue
		}
		if name, _, ok := strings.Cut(line, "="); ok {
			lines[section+"."+strings.TrimSpace(name)] = i + 1
		}
	}
	return lines
}

// asError joins problems into one error of kind Invalid.
func asError(path string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	var b strings.Builder
	for _, p := range problems {
		fmt.Fprintf(&b, "\n  %s", p)
	}
	return errdefs.New(errdefs.Invalid, fmt.Sprintf("%s has %d problems:%s\n", path, len(problems), b.String()),
		"correct the listed lines and start again")
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", errdefs.New(errdefs.Invalid, err.Error(), "name a readable file with --settings"))
	}
	return data, nil
}

func text(into *string) value {
	return value{*into, "text", func(v string) error {
		if v == "" {
			return fmt.Errorf("is empty")
		}
		*into = v
		return nil
	}}
}

func address(into *string) value {
	return value{*into, "ip:port", func(v string) error {
		host, port, err := net.SplitHostPort(v)
		if err != nil {
			return fmt.Errorf("%q is not ip:port", v)
		}
		if net.ParseIP(host) == nil {
			return fmt.Errorf("%q is not an IP address", host)
		}
		if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
			return fmt.Errorf("%q is not a port", port)
		}
		*into = v
		return nil
	}}
}

func addressList(into *[]string) value {
	return value{strings.Join(*into, ", "), "list of ip:port", func(v string) error {
		for _, item := range strings.Split(v, ",") {
			var a string
			if err := address(&a).set(strings.TrimSpace(item)); err != nil {
				return err
			}
			*into = append(*into, a)
		}
		return nil
	}}
}

func baseURL(into *string) value {
	return value{*into, "http or https URL", func(v string) error {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return fmt.Errorf("%q is not an http URL", v)
		}
		*into = strings.TrimSuffix(v, "/")
		return nil
	}}
}

func duration(into *time.Duration, low, high time.Duration) value {
	return value{into.String(), fmt.Sprintf("%s to %s", low, high), func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration", v)
		}
		if d < low || d > high {
			return fmt.Errorf("%s is outside %s to %s", d, low, high)
		}
		*into = d
		return nil
	}}
}

func number(into *int, low, high int) value {
	return value{strconv.Itoa(*into), fmt.Sprintf("%d to %d", low, high), func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if n < low || n > high {
			return fmt.Errorf("%d is outside %d to %d", n, low, high)
		}
		*into = n
		return nil
	}}
}
