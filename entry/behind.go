package entry

import (
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// needed returns the revision that a side process has to report before it enforces everything up to want that concerns it:
// its own shutdown order and the contract of its service. Everything else is enforced by entries alone.
func needed(s *core.State, ep *members.Endpoint, want uint64) uint64 {
	var newest uint64
	if v := s.Config.Shutdowns[ep.ID]; v != nil {
		newest = v.Revision
	}
	if c, _, ok := s.Config.Service(ep.Service); ok {
		newest = max(newest, s.Config.Contracts[c.Customer].Revision)
	}
	// If its newest change came after want, an earlier one may be at want.
	return min(newest, want)
}
