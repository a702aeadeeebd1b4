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

// collectCheckpoints adds the records of checkpoints that are due, as far as the batch has room.
func (s *State) collectCheckpoints(b *Batch, room int) {
	kept := s.checkpointsDirty[:0]
	for _, j := range s.checkpointsDirty {
		switch {
		case j.state.Final():
			j.checkpointsDirty = false
		case s.now.BootMs-j.checkpointsStoredMs < checkpointIntervalMs:
			kept = append(kept, j)
		case !b.add(work.Record{Key: work.PrefixCheckpoints + j.def.ID, Value: work.Encode(j.checkpoints(s.maxRecordBytes()))}, room):
			kept = append(kept, j)
		default:
			j.checkpointsDirty, j.checkpointsStoredMs = false, s.now.BootMs
		}
	}
	clear(s.checkpointsDirty[len(kept):])
	s.checkpointsDirty = kept
}

// checkpointOverheadBytes is the most that a stored checkpoint takes beside its text.
const checkpointOverheadBytes = 24

// checkpoints returns the stored form of the checkpoints of unfinished tasks, without those that do not fit a record: their tasks start from
// their beginning if both the decider and their worker are lost.
func (j *job) checkpoints(maxBytes int) *work.Checkpoints {
	c := &work.Checkpoints{}
	size := 2 * checkpointOverheadBytes
	for _, st := range j.stages {
		for i := range st.tasks {
			t := &st.tasks[i]
			checkpoint := t.checkpoint
			if st.step.Gang {
				checkpoint = st.gangCheckpoint
			}
			if t.phase == done || checkpoint == "" {
				continue
			}
			if n := checkpointOverheadBytes + len(checkpoint); size+n <= maxBytes {
				size += n
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
