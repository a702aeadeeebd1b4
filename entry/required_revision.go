package entry

import (
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// requiredRevision returns the revision that a side process has to report to have applied every change up to want that
// concerns it: its own shutdown order and the contract of its service. All other configuration is enforced by entries
// only.
func requiredRevision(s *core.State, ep *members.Endpoint, want uint64) uint64 {
	var newest uint64
	if v := s.Config.Shutdowns[ep.ID]; v != nil {
		newest = v.Revision
	}
	if c, _, ok := s.Config.Service(ep.Service); ok {
		newest = max(newest, s.Config.Contracts[c.Customer].Revision)
	}
	// If the newest of these changes is later than want, an earlier one may be at want.
	return min(newest, want)
}
