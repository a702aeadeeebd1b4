package scheduler

import "fmt"

// WaitReason returns why the job's next task waits, or an empty string if none waits.
func (s *State) WaitReason(id string) string {
	j := s.jobs[id]
	switch {
	case j == nil || j.cancelled:
		return ""
	case j.refusal != "":
		return "refused: " + j.refusal
	case j.pending && j.why.text == "":
		return "not checked for admission yet"
	case j.waitingTasks == 0:
		return j.delayReason()
	case j.why.text == "":
		return fmt.Sprintf("%d tasks wait for their turn", j.waitingTasks)
	}
	return j.why.String()
}

// ExplainPlacement returns the causes of the newest decisions on a task, oldest first.
func (s *State) ExplainPlacement(id string) []string {
	t := s.tasks[id]
	if t == nil {
		return nil
	}
	return append([]string(nil), t.causes...)
}

// delayReason returns why tasks of the job that are not in its queue wait.
func (j *job) delayReason() string {
	for _, t := range j.tasks {
		switch t.phase {
		case phaseDelayed:
			return fmt.Sprintf("%s keeps ending and waits to be restarted", t.id)
		case phaseProposed:
			return fmt.Sprintf("%s is being started on %s", t.id, t.worker.id)
		}
	}
	return ""
}
