// Package config applies stream config: contracts, availability zones and graceful shutdowns of endpoints.
//
// Every change names the revision of the object on which it is based (optimistic concurrency control). If two operators
// race, the order of the log decides: the first change takes effect, and the other one is recorded as a conflict
// together with the id of the first.
package config

import (
	"fmt"
	"sort"

	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// maxAudit bounds the audit trail that a process keeps in memory: about four days at 2,300 changes a day.
const maxAudit = 10_000

// Status is the outcome of a change.
type Status string

// Outcomes of changes.
const (
	// Accepted means that the change is in force.
	Accepted Status = "accepted"
	// Conflict means that the object was changed after the revision on which this change is based.
	Conflict Status = "conflict"
	// Rejected means that the change is invalid.
	Rejected Status = "rejected"
)

// Outcome is one line of the audit trail.
type Outcome struct {
	// Change is the change as written to the log.
	Change record.ConfigChange `cbor:"1,keyasint" json:"change"`
	// Status says whether it took effect.
	Status Status `cbor:"2,keyasint" json:"status"`
	// Revision is the offset of the change's record.
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// Won is the revision that the object had instead of the change's base.
	Won uint64 `cbor:"4,keyasint,omitempty" json:"won,omitempty"`
	// WonBy is the id of the change that created revision Won.
	WonBy string `cbor:"5,keyasint,omitempty" json:"won_by,omitempty"`
	// Reason explains a rejection.
	Reason string `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
}

// ContractVersion is a contract with its revision and the id of its change.
type ContractVersion struct {
	Contract record.Contract `cbor:"1,keyasint" json:"contract"`
	Revision uint64          `cbor:"2,keyasint" json:"revision"`
	Change   string          `cbor:"3,keyasint" json:"change"`
}

// ZoneVersion is the state of a zone with its revision and the id of its change.
type ZoneVersion struct {
	Zone     record.ZoneChange `cbor:"1,keyasint" json:"zone"`
	Revision uint64            `cbor:"2,keyasint" json:"revision"`
	Change   string            `cbor:"3,keyasint" json:"change"`
}

// ShutdownVersion is the shutdown order for an endpoint with its revision and the id of its change.
type ShutdownVersion struct {
	Shutdown record.ShutdownChange `cbor:"1,keyasint" json:"shutdown"`
	Revision uint64                `cbor:"2,keyasint" json:"revision"`
	Change   string                `cbor:"3,keyasint" json:"change"`
}

// State is the configuration at one offset.
type State struct {
	// Next is the first offset that is not applied.
	Next uint64 `cbor:"1,keyasint"`
	// Revision is the offset of the newest accepted change.
	Revision uint64 `cbor:"2,keyasint"`
	// Contracts holds the contracts by customer.
	Contracts map[string]*ContractVersion `cbor:"3,keyasint"`
	// Zones holds the zones by name.
	Zones map[string]*ZoneVersion `cbor:"4,keyasint"`
	// Shutdowns holds the shutdown orders by endpoint.
	Shutdowns map[string]*ShutdownVersion `cbor:"5,keyasint"`
	// Audit is the newest part of the audit trail, oldest first.
	Audit []Outcome `cbor:"6,keyasint"`
	// Writers detects repeated records.
	Writers record.Sequences `cbor:"7,keyasint"`

	serviceOwners map[string]string
	byID          map[string]int
}

// New returns an empty configuration.
func New() *State {
	s := &State{
		Next:      1,
		Contracts: make(map[string]*ContractVersion),
		Zones:     make(map[string]*ZoneVersion),
		Shutdowns: make(map[string]*ShutdownVersion),
		Writers:   make(record.Sequences),
	}
	s.Reindex()
	return s
}

// Reindex rebuilds the indexes, which are not part of a snapshot.
func (s *State) Reindex() {
	s.serviceOwners = make(map[string]string)
	for customer, c := range s.Contracts {
		for _, svc := range c.Contract.Services {
			s.serviceOwners[svc.Name] = customer
		}
	}
	s.byID = make(map[string]int, len(s.Audit))
	for i := range s.Audit {
		s.byID[s.Audit[i].Change.ID] = i
	}
}

// Fold applies the record at offset and returns the outcomes of its changes. A repeated change keeps its first outcome
// and is not returned again.
func (s *State) Fold(offset uint64, rec *record.Record) []Outcome {
	if offset < s.Next {
		return nil
	}
	s.Next = offset + 1
	if !s.Writers.Accept(rec) {
		return nil
	}
	var outcomes []Outcome
	for _, change := range rec.Config {
		if _, known := s.byID[change.ID]; !known {
			outcomes = append(outcomes, s.decide(offset, change))
		}
	}
	return outcomes
}

func (s *State) decide(offset uint64, change record.ConfigChange) Outcome {
	out := Outcome{Change: change, Status: Accepted, Revision: offset}
	current, wonBy := s.currentRevision(change)
	err := Check(change, s)
	switch {
	case err != nil:
		out.Status, out.Reason = Rejected, err.Error()
	case current != change.Base && rule.Enabled(rule.Version):
		out.Status, out.Won, out.WonBy = Conflict, current, wonBy
	default:
		s.storeObject(offset, change)
	}
	s.appendAudit(out)
	return out
}

func (s *State) currentRevision(change record.ConfigChange) (uint64, string) {
	switch {
	case change.Contract != nil:
		if v := s.Contracts[change.Contract.Customer]; v != nil {
			return v.Revision, v.Change
		}
	case change.Zone != nil:
		if v := s.Zones[change.Zone.Zone]; v != nil {
			return v.Revision, v.Change
		}
	case change.Shutdown != nil:
		if v := s.Shutdowns[change.Shutdown.Endpoint]; v != nil {
			return v.Revision, v.Change
		}
	}
	return 0, ""
}

func (s *State) storeObject(offset uint64, change record.ConfigChange) {
	s.Revision = offset
	switch {
	case change.Contract != nil:
		s.dropServices(change.Contract.Customer)
		s.Contracts[change.Contract.Customer] = &ContractVersion{*change.Contract, offset, change.ID}
		for _, svc := range change.Contract.Services {
			s.serviceOwners[svc.Name] = change.Contract.Customer
		}
	case change.Zone != nil:
		s.Zones[change.Zone.Zone] = &ZoneVersion{*change.Zone, offset, change.ID}
	case change.Shutdown != nil:
		s.Shutdowns[change.Shutdown.Endpoint] = &ShutdownVersion{*change.Shutdown, offset, change.ID}
	}
}

func (s *State) dropServices(customer string) {
	old := s.Contracts[customer]
	if old == nil {
		return
	}
	for _, svc := range old.Contract.Services {
		delete(s.serviceOwners, svc.Name)
	}
}

func (s *State) appendAudit(out Outcome) {
	if len(s.Audit) >= maxAudit {
		s.Audit = append([]Outcome(nil), s.Audit[maxAudit/4:]...)
		s.Reindex()
	}
	s.byID[out.Change.ID] = len(s.Audit)
	s.Audit = append(s.Audit, out)
}

// Outcome returns the outcome of the change with the given id.
func (s *State) Outcome(id string) (Outcome, bool) {
	i, ok := s.byID[id]
	if !ok {
		return Outcome{}, false
	}
	return s.Audit[i], true
}

// Service returns the service with the given name and its contract.
func (s *State) Service(name string) (*record.Contract, *record.Service, bool) {
	v := s.Contracts[s.serviceOwners[name]]
	if v == nil {
		return nil, nil, false
	}
	for i := range v.Contract.Services {
		if v.Contract.Services[i].Name == name {
			return &v.Contract, &v.Contract.Services[i], true
		}
	}
	return nil, nil, false
}

// ZoneOut reports whether the zone is out of service.
func (s *State) ZoneOut(zone string) bool {
	v := s.Zones[zone]
	return v != nil && v.Zone.Out
}

// ZoneBackAfter reports whether the newest change of a zone is later than a revision and left the zone in service.
func (s *State) ZoneBackAfter(zone string, revision uint64) bool {
	v := s.Zones[zone]
	return v != nil && !v.Zone.Out && v.Revision > revision
}

// Customers returns the names of all customers in order.
func (s *State) Customers() []string {
	names := make([]string, 0, len(s.Contracts))
	for name := range s.Contracts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// ZoneNames returns the names of all zones with a recorded change, in order.
func (s *State) ZoneNames() []string {
	names := make([]string, 0, len(s.Zones))
	for name := range s.Zones {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// String summarizes the state.
func (s *State) String() string {
	return fmt.Sprintf("revision %d, %d contracts, %d zones", s.Revision, len(s.Contracts), len(s.Zones))
}
