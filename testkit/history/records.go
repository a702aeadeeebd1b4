package history

// objectAt names an object of the configuration as one reader sees it.
type objectAt struct{ process, object string }

// records is the state of the rules on what readers take from the log.
type records struct {
	revisions map[objectAt]uint64
	applied   map[RecordApplied]bool
}

func newRecords() records {
	return records{revisions: map[objectAt]uint64{}, applied: map[RecordApplied]bool{}}
}

func (c *checker) changeDecided(e ChangeDecided) {
	key := objectAt{e.Process, e.Object}
	if have := c.records.revisions[key]; e.Base != have {
		c.report(UpdateLost, e.At, e.Object, "revision %d was made from %d, but %s had %d", e.Revision, e.Base, e.Process, have)
	}
	c.records.revisions[key] = e.Revision
}

func (c *checker) recordApplied(e RecordApplied) {
	key := e
	key.At = 0
	if c.records.applied[key] {
		c.report(RecordTwice, e.At, e.Writer, "%s took sequence %d of incarnation %d on %s twice", e.Process, e.Seq, e.Incarnation, e.Stream)
	}
	c.records.applied[key] = true
}
