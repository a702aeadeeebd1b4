package history

import "time"

// requests is the state of the rules on requests.
type requests struct {
	byID       map[string]Request
	executedID map[string]Execution
	// executedKey holds the first execution of each key.
	executedKey map[string]Execution
	answers     []Answer
	leaving     map[string]EndpointLeaving
}

func newRequests() requests {
	return requests{map[string]Request{}, map[string]Execution{}, map[string]Execution{}, nil, map[string]EndpointLeaving{}}
}

func (c *checker) request(e Request) {
	if _, ok := c.requests.byID[e.ID]; ok {
		c.report(Malformed, e.At, e.ID, "two requests have this ID")
	}
	c.requests.byID[e.ID] = e
}

func (c *checker) execution(e Execution) {
	if left, ok := c.requests.leaving[e.Endpoint]; ok && e.At > left.At+LeavingLimit {
		c.report(WorkAtLeaving, e.At, e.Endpoint, "request %s began, the endpoint is leaving since %v", e.ID, left.At)
	}
	if _, ok := c.requests.executedID[e.ID]; !ok {
		c.requests.executedID[e.ID] = e
	}
	if e.Key == "" {
		return
	}
	if first, ok := c.requests.executedKey[e.Key]; ok {
		c.report(ExecutedTwice, e.At, e.Key, "request %s at %s, and before that request %s at %s at %v",
			e.ID, e.Endpoint, first.ID, first.Endpoint, first.At)
		return
	}
	c.requests.executedKey[e.Key] = e
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
			if e, ok := c.requests.executedID[a.ID]; ok {
				c.report(NotRunExecuted, a.At, a.ID, "executed at %s at %v", e.Endpoint, e.At)
			}
		case Unknown:
			e, ran := c.requests.executedID[a.ID]
			if left, ok := c.requests.leaving[e.Endpoint]; ran && ok && a.At >= left.At {
				c.report(CutOff, a.At, a.ID, "in progress at %s, which is leaving since %v", e.Endpoint, left.At)
			}
		case Answered:
			c.answered(request, a, first)
		}
	}
}

// answered checks an answer of an endpoint. The answer to a repeat of a key may be the one made for the first request.
func (c *checker) answered(request Request, a Answer, first map[string]Answer) {
	if a.Sum != a.StatedSum {
		c.report(AnswerNotWhole, a.At, a.ID, "checksum is %x, the endpoint stated %x", a.Sum, a.StatedSum)
	}
	if a.EchoID != a.ID && (request.Key == "" || c.requests.byID[a.EchoID].Key != request.Key) {
		c.report(AnswerOfOther, a.At, a.ID, "the answer names %q", a.EchoID)
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
	seen       map[string]RevisionSeen
	gone       map[string]bool
	accepted   uint64
	acceptedAt time.Duration
}

func newConfiguration() configuration {
	return configuration{seen: map[string]RevisionSeen{}, gone: map[string]bool{}}
}

func (c *checker) revisionSeen(e RevisionSeen) {
	if last := c.config.seen[e.Process]; e.Revision < last.Revision {
		c.report(RevisionDecreased, e.At, e.Process, "revision %d after %d", e.Revision, last.Revision)
	}
	c.config.seen[e.Process] = e
}

func (c *checker) finishConfiguration() {
	if c.config.accepted > 0 && len(c.config.seen) == 0 {
		c.report(Malformed, c.config.acceptedAt, "configuration", "changes were accepted and no process was asked")
	}
	for process, last := range c.config.seen {
		if !c.config.gone[process] && last.Revision < c.config.accepted {
			c.report(ChangeNotSeen, last.At, process, "last saw revision %d, accepted is %d", last.Revision, c.config.accepted)
		}
	}
}
