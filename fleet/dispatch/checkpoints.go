package dispatch

import "github.com/verbenakeel/verbenakeel/fleet/work"

// checkpointIntervalMs is the minimum time between two records of a job's checkpoints. A decider and a worker that are
// lost together cost the work since the last record.
const checkpointIntervalMs = 1000

// setCheckpoint records the newest checkpoint of a task. That of any member of a gang is valid for the whole gang.
func (s *State) setCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || checkpoint == t.checkpoint {
		return
	}
	t.checkpoint = checkpoint
	if t.stage.step.Gang {
		t.stage.gangCheckpoint = checkpoint
	}
	if j := t.stage.job; !j.checkpointsDirty {
		j.checkpointsDirty = true
		s.checkpointsDirty = append(s.checkpointsDirty, j)
	}
}

// dueCheckpoints returns the records of checkpoints that are due.
func (s *State) dueCheckpoints() []work.Record {
	var records []work.Record
	kept := s.checkpointsDirty[:0]
	for _, j := range s.checkpointsDirty {
		switch {
		case j.state.Final():
			j.checkpointsDirty = false
		case s.now.BootMs-j.checkpointsStoredMs < checkpointIntervalMs:
			kept = append(kept, j)
		default:
			j.checkpointsDirty, j.checkpointsStoredMs = false, s.now.BootMs
			records = append(records, work.Record{Key: work.PrefixCheckpoints + j.def.ID, Value: work.Encode(j.checkpoints())})
		}
	}
	clear(s.checkpointsDirty[len(kept):])
	s.checkpointsDirty = kept
	return records
}

// checkpoints returns the stored form of the checkpoints of unfinished tasks.
func (j *job) checkpoints() *work.Checkpoints {
	c := &work.Checkpoints{}
	for _, st := range j.stages {
		for i := range st.tasks {
			t := &st.tasks[i]
			checkpoint := t.checkpoint
			if st.step.Gang {
				checkpoint = st.gangCheckpoint
			}
			if t.phase != done && checkpoint != "" {
				c.Tasks = append(c.Tasks, work.TaskCheckpoint{Occurrence: st.occurrence, Step: st.index, Index: i, Checkpoint: checkpoint})
			}
		}
	}
	return c
}

// restoreCheckpoints restores stored checkpoints of unfinished tasks.
func (j *job) restoreCheckpoints(c *work.Checkpoints) {
	for _, r := range c.Tasks {
		st := j.stage(r.Occurrence, r.Step)
		if st == nil || r.Index < 0 || r.Index >= len(st.tasks) {
			continue // the record does not fit the job
		}
		if t := &st.tasks[r.Index]; t.phase != done {
			t.checkpoint = r.Checkpoint
			if st.step.Gang {
				st.gangCheckpoint = r.Checkpoint
			}
		}
	}
}
