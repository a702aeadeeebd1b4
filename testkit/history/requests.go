package history

import "time"

// requests is the state of the rules on requests.
type requests struct {
	byID           map[string]Request
	executionsByID map[string]Execution
	// executionsByKey holds the first execution of each key.
	executionsByKey map[string]Execution
	answers         []Answer
	shutdowns       map[string]EndpointShutdown
}

func newRequests() requests {
	return requests{map[string]Request{}, map[string]Execution{}, map[string]Execution{}, nil, map[string]EndpointShutdown{}}
}

func (c *checker) onRequest(e Request) {
	if _, ok := c.requests.byID[e.ID]; ok {
		c.report(Malformed, e.At, e.ID, "another request has the same ID")
	}
	c.requests.byID[e.ID] = e
}

func (c *checker) onExecution(e Execution) {
	if shutdown, ok := c.requests.shutdowns[e.Endpoint]; ok && e.At > shutdown.At+ShutdownWorkLimit {
		c.report(RequestAfterShutdown, e.At, e.Endpoint, "request %s began, shutdown began at %v", e.ID, shutdown.At)
	}
	if _, ok := c.requests.executionsByID[e.ID]; !ok {
		c.requests.executionsByID[e.ID] = e
	}
	if e.Key == "" {
		return
	}
	if first, ok := c.requests.executionsByKey[e.Key]; ok {
		c.report(ExecutedTwice, e.At, e.Key, "request %s ran at %s, and earlier request %s ran at %s at %v",
			e.ID, e.Endpoint, first.ID, first.Endpoint, first.At)
		return
	}
	c.requests.executionsByKey[e.Key] = e
}

func (c *checker) finishRequests() {
	first := map[string]Answer{}
	for _, a := range c.requests.answers {
		request, ok := c.requests.byID[a.ID]
		if !ok {
			c.report(Malformed, a.At, a.ID, "answer without a request")
			continue
		}
		switch a.Verdict {
		case NotRun:
			if e, ok := c.requests.executionsByID[a.ID]; ok {
				c.report(NotRunExecuted, a.At, a.ID, "executed at %s at %v", e.Endpoint, e.At)
			}
		case Unknown:
			e, ran := c.requests.executionsByID[a.ID]
			if shutdown, ok := c.requests.shutdowns[e.Endpoint]; ran && ok && a.At >= shutdown.At {
				c.report(RequestInterrupted, a.At, a.ID, "in progress at %s, whose shutdown began at %v", e.Endpoint, shutdown.At)
			}
		case Answered:
			c.checkAnswer(request, a, first)
		}
	}
}

// checkAnswer checks an answer of an endpoint. A request that repeats the key of an earlier one may receive the answer
// to the earlier one.
func (c *checker) checkAnswer(request Request, a Answer, first map[string]Answer) {
	if a.Sum != a.StatedSum {
		c.report(AnswerCorrupt, a.At, a.ID, "checksum is %x, the endpoint stated %x", a.Sum, a.StatedSum)
	}
	if a.EchoID != a.ID && (request.Key == "" || c.requests.byID[a.EchoID].Key != request.Key) {
		c.report(AnswerMismatched, a.At, a.ID, "the answer echoes the ID %q", a.EchoID)
	}
	if request.Key == "" {
		return
	}
	f, ok := first[request.Key]
	if !ok {
		first[request.Key] = a
		return
	}
	if f.Sum != a.Sum || f.Status != a.Status {
		c.report(AnswersDiffer, a.At, request.Key, "request %s got %d with checksum %x, request %s got %d with %x",
			a.ID, a.Status, a.Sum, f.ID, f.Status, f.Sum)
	}
}

// configuration is the state of the rules on configuration.
type configuration struct {
	reported   map[string]RevisionReported
	ended      map[string]bool
	accepted   uint64
	acceptedAt time.Duration
}

func newConfiguration() configuration {
	return configuration{reported: map[string]RevisionReported{}, ended: map[string]bool{}}
}

func (c *checker) onRevisionReported(e RevisionReported) {
	if last := c.config.reported[e.Process]; e.Revision < last.Revision {
		c.report(RevisionDecreased, e.At, e.Process, "revision %d after %d", e.Revision, last.Revision)
	}
	c.config.reported[e.Process] = e
}

func (c *checker) finishConfiguration() {
	if c.config.accepted > 0 && len(c.config.reported) == 0 {
		c.report(Malformed, c.config.acceptedAt, "configuration", "changes were accepted, but no process reported a revision")
	}
	for process, last := range c.config.reported {
		if !c.config.ended[process] && last.Revision < c.config.accepted {
			c.report(ChangeNotPropagated, last.At, process, "last revision is %d, accepted is %d", last.Revision, c.config.accepted)
		}
	}
}
