package control

// Headers of requests on their way from a caller through an entry and a side process to an endpoint. Only HeaderRequestID
// and HeaderCustomer reach the endpoint.
const (
	// HeaderDeadline is the time left for the request, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderRequestID names the request; every answer echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderCustomer names the customer.
	HeaderCustomer = "X-Customer"
	// HeaderCaller tells callers of one customer apart.
	HeaderCaller = "X-Caller"
	// HeaderKey is the idempotency key of a request that may run at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderNotRun says that the request certainly did not and will not run; HeaderReason says why.
	HeaderNotRun = "X-Not-Run"
	HeaderReason = "X-Reason"
	// HeaderOutcome is "unknown" when the request may have run, and "running" in the answer to a question.
	HeaderOutcome = "X-Outcome"
	// HeaderSlots and HeaderQueue tell the endpoint's free slots and waiting requests.
	HeaderSlots = "X-Slots-Free"
	HeaderQueue = "X-Queue"
	// HeaderClock carries a run of the side process and its monotonic time in ms, HeaderExpires the same of the time after
	// which a sending must not start.
	HeaderClock   = "X-Side-Clock"
	HeaderExpires = "X-Expires"
	// HeaderStart identifies a sending that must not start twice.
	HeaderStart = "X-Start-Id"
	// HeaderRepeatable is "true" for a request that may run more than once.
	HeaderRepeatable = "X-Repeatable"
	// HeaderTries lists sendings, separated by commas.
	HeaderTries = "X-Tries"
	// HeaderRevision is the configuration that an entry follows.
	HeaderRevision = "X-Config-Revision"
)
