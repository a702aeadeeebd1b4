package scheduler

import "fmt"

// WaitReason returns why the job's next task waits, or an empty string if nothing of it waits.
func (s *State) WaitReason(id string) string {
	j := s.jobs[id]
	switch {
	case j == nil || j.cancelled:
		return ""
	case j.refusal != "":
		return "refused: " + j.refusal
	case j.pending && j.reason == "":
		return "not checked for admission yet"
	case j.waitingTasks == 0:
		return ""
	case j.reason == "":
		return fmt.Sprintf("%d tasks wait for their turn", j.waitingTasks)
	}
	return j.reason
}

// ExplainPlacement returns the causes of the newest decisions on a task, oldest first.
func (s *State) ExplainPlacement(id string) []string {
	t := s.tasks[id]
	if t == nil {
		return nil
	}
	return append([]string(nil), t.causes...)
}
