// Package why finds the lines of saved logs that tell what became of a job, and puts them in the order of cause.
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
	// maxLine bounds a line in bytes; a longer one is counted as unreadable.
	maxLine = 1 << 20
	// aroundLines is the number of lines about an instance that are kept before the end of a run on it.
	aroundLines = 3
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
	// place is the line's place among all lines read.
	place int
}

// Account is what the logs tell of one job.
type Account struct {
	// Lines are in the order of cause.
	Lines []Line
	// Read counts all lines, Unreadable those that are cut or not JSON, Repeated those that were read before.
	Read, Unreadable, Repeated int
}

// rank orders the events of one run, or of the job as a whole. Clocks of processes may differ and jump, so times order
// nothing.
var rank = map[int]int{
	logevent.JobAccepted.Number: 1, logevent.JobRefused.Number: 1, logevent.JobUnknown.Number: 1, logevent.JobTaken.Number: 2,
	logevent.TaskStart.Number: 3, logevent.StartUnanswered.Number: 4, logevent.StartAnswered.Number: 5, logevent.TaskRefused.Number: 6,
	logevent.TaskStop.Number: 7, logevent.TaskEnd.Number: 8, logevent.TaskRequeued.Number: 9, logevent.JobCancelled.Number: 10,
	logevent.JobOver.Number: 11,
}

// instanceEvents tell of the state of an instance.
var instanceEvents = map[int]bool{
	logevent.SideUnlinked.Number: true, logevent.WorkerDown.Number: true, logevent.WorkerUp.Number: true,
	logevent.WorkerQuarantined.Number: true, logevent.WorkerSilent.Number: true, logevent.WorkerAnswers.Number: true,
}

// Explain reads logs and returns the account of a job.
func Explain(job string, logs ...io.Reader) (Account, error) {
	var a Account
	var about []Line
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
			l.place = a.Read
			switch {
			case l.Job == job || strings.HasPrefix(l.Task, job+"."):
				seen[key] = true
				a.Lines = append(a.Lines, l)
			case instanceEvents[l.Event]:
				seen[key] = true
				about = append(about, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return a, fmt.Errorf("read logs: %w", err)
		}
	}
	a.Lines = append(a.Lines, around(a.Lines, about)...)
	sort.SliceStable(a.Lines, func(i, k int) bool { return before(&a.Lines[i], &a.Lines[k]) })
	return a, nil
}

// parse reads a line; what stands before the first brace, as a bench or a collector puts there, is passed over.
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

// around returns lines about the instances on which runs of the job were lost, just before they were.
func around(lines, about []Line) []Line {
	var found []Line
	taken := map[int]bool{}
	for i := range lines {
		if lines[i].Event != logevent.TaskRequeued.Number {
			continue
		}
		n := 0
		for k := len(about) - 1; k >= 0 && n < aroundLines; k-- {
			o := about[k]
			if o.place < lines[i].place && !taken[o.place] && (o.Instance == lines[i].Instance || o.Process == lines[i].Instance) {
				taken[o.place] = true
				o.Task, o.Run = lines[i].Task, lines[i].Run
				found = append(found, o)
				n++
			}
		}
	}
	return found
}

// before orders lines: the job's acceptance, each task by its runs, the job's end.
func before(a, b *Line) bool {
	if x, y := part(a), part(b); x != y {
		return x < y
	}
	if a.Task != b.Task {
		return a.Task < b.Task
	}
	if a.Run != b.Run {
		return a.Run < b.Run
	}
	if x, y := place(a), place(b); x != y {
		return x < y
	}
	return a.place < b.place
}

// part is 0 before the tasks, 1 in them, 2 after them.
func part(l *Line) int {
	switch {
	case l.Task != "":
		return 1
	case l.Event == logevent.JobOver.Number || l.Event == logevent.JobCancelled.Number:
		return 2
	}
	return 0
}

// place puts lines about an instance before the loss of the run.
func place(l *Line) int {
	if r, ok := rank[l.Event]; ok {
		return r
	}
	return rank[logevent.TaskEnd.Number]
}

// Write writes an account for people.
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
			return fmt.Errorf("write the account: %w", err)
		}
	}
	_, err := fmt.Fprintf(w, "%d lines read, %d of them unreadable, %d repeated; %d are about the job\n", a.Read, a.Unreadable, a.Repeated, len(a.Lines))
	if err != nil {
		return fmt.Errorf("write the account: %w", err)
	}
	return nil
}
