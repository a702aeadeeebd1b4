package history

// readerObject names an object of the configuration as one reader sees it.
type readerObject struct{ process, object string }

// records is the state of the rules on records that readers apply from the log.
type records struct {
	revisions map[readerObject]uint64
	applied   map[RecordApplied]bool
}

func newRecords() records {
	return records{revisions: map[readerObject]uint64{}, applied: map[RecordApplied]bool{}}
}

func (c *checker) onChangeApplied(e ChangeApplied) {
	key := readerObject{e.Process, e.Object}
	if have := c.records.revisions[key]; e.Base != have {
		c.report(UpdateLost, e.At, e.Object, "revision %d is based on %d, but %s had %d", e.Revision, e.Base, e.Process, have)
	}
	c.records.revisions[key] = e.Revision
}

func (c *checker) onRecordApplied(e RecordApplied) {
	key := e
	key.At = 0
	if c.records.applied[key] {
		c.report(RecordAppliedTwice, e.At, e.Writer, "%s applied sequence %d of incarnation %d on %s twice", e.Process, e.Seq, e.Incarnation, e.Stream)
	}
	c.records.applied[key] = true
}
