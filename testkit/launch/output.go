package launch

import (
	"bytes"
	"io"
	"strings"
	"sync"
)

// output stores the output of a process and parses the listener and ready lines of its stdout.
type output struct {
	mu        sync.Mutex
	all       bytes.Buffer
	listeners map[string]string
	ready     bool
	changed   chan struct{} // closed and replaced at each listener or ready line
}

func newOutput() *output {
	return &output{listeners: map[string]string{}, changed: make(chan struct{})}
}

// state returns the address of the listener, whether the ready line was received, and a channel that is closed at the
// next change.
func (o *output) state(listener string) (address string, ready bool, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.listeners[listener], o.ready, o.changed
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.all.String()
}

// parseLine parses one line of stdout. The caller holds o.mu.
func (o *output) parseLine(text string) {
	fields := strings.Fields(text)
	switch {
	case len(fields) == 1 && fields[0] == "ready":
		o.ready = true
	case len(fields) == 3 && fields[0] == "listening":
		name, isName := strings.CutPrefix(fields[1], "name=")
		address, isAddress := strings.CutPrefix(fields[2], "address=")
		if !isName || !isAddress {
			return
		}
		o.listeners[name] = address
	default:
		return
	}
	close(o.changed)
	o.changed = make(chan struct{})
}

// stream is the writer for stdout or stderr of the process.
type stream struct {
	output      *output
	log         io.Writer
	parse       bool
	partialLine []byte // beginning of an incomplete line
}

// Write implements io.Writer.
func (s *stream) Write(data []byte) (int, error) {
	s.output.mu.Lock()
	defer s.output.mu.Unlock()
	s.output.all.Write(data)
	if s.log != nil {
		_, _ = s.log.Write(data)
	}
	if !s.parse {
		return len(data), nil
	}
	s.partialLine = append(s.partialLine, data...)
	for {
		line, remaining, found := bytes.Cut(s.partialLine, []byte("\n"))
		if !found {
			return len(data), nil
		}
		s.output.parseLine(string(line))
		s.partialLine = remaining
	}
}
