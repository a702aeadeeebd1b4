// Package rule names the rules that the invariants of leases, authority, capacity, configuration and shutdowns rest on. Tests
// switch a rule off to show that the history checker and the model check notice. Nothing else may do so.
package rule

// Rule is one rule.
type Rule int

// Rules.
const (
	// Lease makes a decider wait until the lease of a silent worker has ended.
	Lease Rule = iota
	// Epoch makes side processes and workers refuse deciders of an older epoch.
	Epoch
	// Dedup makes readers drop repeated records.
	Dedup
	// Version makes a change of configuration conflict unless it was made from the newest version.
	Version
	// Presume makes a decider wait until the authority of older deciders has ended.
	Presume
	// Permit makes a decider check the zone and the age of its configuration before it permits a start.
	Permit
	// Capacity makes the policy place a task only where it fits, and readers void a start beyond a worker's capacity.
	Capacity
	// Leave makes a leaving endpoint refuse new work.
	Leave
	// Finish makes a process that shuts down wait for requests in progress.
	Finish

	count
)

// off is written only while no other goroutine runs the system.
var off [count]bool

// On reports whether the rule is in force.
func On(r Rule) bool { return !off[r] }

// Off switches a rule off in a test until the returned function is called.
func Off(r Rule) func() {
	off[r] = true
	return func() { off[r] = false }
}
