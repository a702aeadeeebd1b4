// Package rule lists the rules that the invariants of leases, authority, capacity, configuration and shutdowns depend on.
// Tests disable a rule to verify that the history checker and the model check detect the violation. No other code may
// disable a rule.
package rule

// Rule identifies a rule.
type Rule int

// Rules.
const (
	// Lease makes a decider wait until the lease of an unresponsive worker has expired.
	Lease Rule = iota
	// Epoch makes side processes and workers reject deciders of an older epoch.
	Epoch
	// Dedup makes readers drop repeated records.
	Dedup
	// Version makes a configuration change conflict unless it is based on the newest revision.
	Version
	// AuthorityExpiry makes a decider wait until the authority of older deciders has expired.
	AuthorityExpiry
	// Permit makes a decider check the zone and the age of its configuration before it permits a start.
	Permit
	// Capacity makes the policy place a task only where it fits, and makes readers void a start beyond a worker's capacity.
	Capacity
	// RefuseWhileDraining makes a draining endpoint refuse new requests.
	RefuseWhileDraining
	// Finish makes a process wait for requests in progress during its shutdown.
	Finish

	count
)

// disabled holds the disabled rules. It is written only while no other goroutine uses the system.
var disabled [count]bool

// Enabled reports whether the rule is enabled.
func Enabled(r Rule) bool { return !disabled[r] }

// Disable disables a rule in a test until the returned function is called.
func Disable(r Rule) func() {
	disabled[r] = true
	return func() { disabled[r] = false }
}
