package side

// Headers between entries and side processes. None of them passes between a side process and its endpoint, but for the
// request id and the customer.
const (
	headerDeadline  = "X-Deadline-Ms"
	headerRequestID = "X-Request-Id"
	// headerNotRun says that the request certainly did not and will not run; headerReason says why.
	headerNotRun = "X-Not-Run"
	headerReason = "X-Reason"
	// headerOutcome is "unknown" when the request may have run, and "running" in the answer to a question.
	headerOutcome = "X-Outcome"
	headerSlots   = "X-Slots-Free"
	headerQueue   = "X-Queue"
	// headerClock carries this run of the side process and its monotonic time in ms, headerExpires the same of the time
	// after which a sending must not start.
	headerClock   = "X-Side-Clock"
	headerExpires = "X-Expires"
	// headerStart identifies a sending that must not start twice.
	headerStart = "X-Start-Id"
	// headerRepeatable is "true" for a request that may run more than once.
	headerRepeatable = "X-Repeatable"
	// headerTries lists sendings, separated by commas.
	headerTries = "X-Tries"
	// headerRevision is the configuration that an entry follows.
	headerRevision = "X-Config-Revision"
)

// internalHeaders are not passed to or taken from the endpoint. Hop headers describe one connection.
var internalHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
	headerDeadline: true, headerNotRun: true, headerReason: true, headerOutcome: true, headerSlots: true, headerQueue: true,
	headerClock: true, headerExpires: true, headerStart: true, headerRepeatable: true, headerTries: true, headerRevision: true, "X-Try": true,
	"X-Replayed": true,
}
