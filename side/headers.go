package side

import "github.com/verbenakeel/verbenakeel/control"

// internalHeaders are headers that are not forwarded to or from the endpoint: hop-by-hop headers, which describe one
// connection, and headers between entries and side processes.
var internalHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
	control.HeaderDeadline: true, control.HeaderNotRun: true, control.HeaderReason: true, control.HeaderOutcome: true, control.HeaderSlots: true, control.HeaderQueue: true,
	control.HeaderClock: true, control.HeaderExpires: true, control.HeaderStart: true, control.HeaderRepeatable: true, control.HeaderTries: true, control.HeaderRevision: true, "X-Try": true,
	"X-Replayed": true,
}
