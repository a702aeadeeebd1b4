// Package why extracts the lines about a job from saved logs and puts them in causal order.
package why

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/verbenakeel/verbenakeel/logevent"
)

const (
	// maxLine is the maximum length of a line in bytes.
	maxLine = 1 << 20
	// contextLines is the number of lines about an instance that are shown before each loss of a run on it.
	contextLines = 3
)

// Line is one line of a log.
type Line struct {
	Process  string `json:"process"`
	Event    int    `json:"event"`
	Job      string `json:"job"`
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Instance string `json:"instance"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Error    string `json:"error"`
	Time     string `json:"time"`
	Message  string `json:"message"`
	// index is the line's position among all lines read.
	index int
}

// Account is the history of one job according to the logs.
type Account struct {
	// Lines are in causal order.
	Lines []Line
	// Read counts all lines, Unreadable those that are truncated or not JSON, Repeated duplicates of earlier lines.
	Read, Unreadable, Repeated int
}

// eventRank orders the events of one run, or of the job as a whole. Timestamps aren't used: clocks differ between processes
// and may jump.
var eventRank = map[int]int{
	logevent.JobAccepted.Number: 1, logevent.JobRefused.Number: 1, logevent.JobUnknown.Number: 1, logevent.JobLoaded.Number: 2,
	logevent.TaskStart.Number: 3, logevent.StartUnanswered.Number: 4, logevent.StartAnswered.Number: 5, logevent.TaskRefused.Number: 6,
	logevent.TaskStop.Number: 7, logevent.TaskEnd.Number: 8, logevent.TaskRequeued.Number: 9, logevent.JobCancelled.Number: 10,
	logevent.JobFinished.Number: 11,
}

// instanceEvents are events about the state of an instance.
var instanceEvents = map[int]bool{
	logevent.SideUnlinked.Number: true, logevent.WorkerDown.Number: true, logevent.WorkerUp.Number: true,
	logevent.WorkerQuarantined.Number: true, logevent.WorkerUnresponsive.Number: true, logevent.WorkerRecovered.Number: true,
}

// Explain reads logs and returns the history of a job.
func Explain(job string, logs ...io.Reader) (Account, error) {
	var a Account
	var instanceLines []Line
	seen := map[string]bool{}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 64<<10), maxLine)
		for scanner.Scan() {
			a.Read++
			l, ok := parse(scanner.Bytes())
			if !ok {
				a.Unreadable++
				continue
			}
			key := l.Process + l.Time + string(scanner.Bytes())
			if seen[key] {
				a.Repeated++
				continue
			}
			l.index = a.Read
			switch {
			case l.Job == job || strings.HasPrefix(l.Task, job+"."):
				seen[key] = true
				a.Lines = append(a.Lines, l)
			case instanceEvents[l.Event]:
				seen[key] = true
				instanceLines = append(instanceLines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return a, fmt.Errorf("read logs: %w", err)
		}
	}
	a.Lines = append(a.Lines, instanceContext(a.Lines, instanceLines)...)
	sort.SliceStable(a.Lines, func(i, k int) bool { return before(&a.Lines[i], &a.Lines[k]) })
	return a, nil
}

// parse decodes a line. It skips a prefix before the first brace, as benchmarks and log collectors add it.
func parse(data []byte) (Line, bool) {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return Line{}, false
	}
	var l Line
	if err := json.Unmarshal(data[i:], &l); err != nil || l.Event == 0 {
		return Line{}, false
	}
	return l, true
}

// instanceContext returns the last lines about each instance before a run of the job was lost on it.
func instanceContext(lines, instanceLines []Line) []Line {
	var found []Line
	used := map[int]bool{}
	for i := range lines {
		if lines[i].Event != logevent.TaskRequeued.Number {
			continue
		}
		n := 0
		for k := len(instanceLines) - 1; k >= 0 && n < contextLines; k-- {
			o := instanceLines[k]
			if o.index < lines[i].index && !used[o.index] && (o.Instance == lines[i].Instance || o.Process == lines[i].Instance) {
				used[o.index] = true
				o.Task, o.Run = lines[i].Task, lines[i].Run
				found = append(found, o)
				n++
			}
		}
	}
	return found
}

// before orders lines: first the job's acceptance, then each task by its runs, then the job's end.
func before(a, b *Line) bool {
	if x, y := phase(a), phase(b); x != y {
		return x < y
	}
	if a.Task != b.Task {
		return a.Task < b.Task
	}
	if a.Run != b.Run {
		return a.Run < b.Run
	}
	if x, y := runOrder(a), runOrder(b); x != y {
		return x < y
	}
	return a.index < b.index
}

// phase returns 0 for lines before the tasks, 1 for lines of tasks and 2 for lines after them.
func phase(l *Line) int {
	switch {
	case l.Task != "":
		return 1
	case l.Event == logevent.JobFinished.Number || l.Event == logevent.JobCancelled.Number:
		return 2
	}
	return 0
}

// runOrder returns the order of a line within its run. Lines about an instance come before the loss of the run.
func runOrder(l *Line) int {
	if r, ok := eventRank[l.Event]; ok {
		return r
	}
	return eventRank[logevent.TaskEnd.Number]
}

// Write writes the account in human-readable form.
func (a *Account) Write(w io.Writer) error {
	for i := range a.Lines {
		l := &a.Lines[i]
		text := fmt.Sprintf("%s %s %d %s", l.Time, l.Process, l.Event, l.Message)
		for _, f := range []struct{ name, value string }{{"task", l.Task}, {"instance", l.Instance}, {"outcome", l.Outcome}, {"reason", l.Reason}, {"error", l.Error}} {
			if f.value != "" {
				text += fmt.Sprintf(" %s=%q", f.name, f.value)
			}
		}
		if l.Run > 0 {
			text += fmt.Sprintf(" run=%d", l.Run)
		}
		if _, err := fmt.Fprintln(w, text); err != nil {
			return fmt.Errorf("write the job history: %w", err)
		}
	}
	_, err := fmt.Fprintf(w, "%d lines read, %d of them unreadable, %d repeated; %d are about the job\n", a.Read, a.Unreadable, a.Repeated, len(a.Lines))
	if err != nil {
		return fmt.Errorf("write the job history: %w", err)
	}
	return nil
}
