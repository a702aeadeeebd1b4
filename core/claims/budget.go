package claims

import "github.com/cespare/xxhash/v2"

// Resident memory of what is kept, in bytes, without keys and bodies.
const (
	claimCost  = 2200
	oldKeyCost = 310
)

// Use is what the claims of one customer take.
type Use struct {
	// Keys counts the keys that are remembered.
	Keys int
	// Bytes is the memory of keys and answers.
	Bytes int64
}

// use is a Use by which limits are decided.
type use Use

// Denial says why no further key of a customer can be remembered. Empty means that there is room.
type Denial string

// Denials.
const (
	// OverKeys means that the contract's limit of keys is reached.
	OverKeys Denial = "keys"
	// OverMemory means that the keys and answers of all customers fill the budget and this customer has its share.
	OverMemory Denial = "memory"
)

func (c *Claim) cost() int64 { return claimCost + int64(len(c.Key)+len(c.Body)) }

func (s *State) charge(owner uint64, keys int, bytes int64) {
	u := s.uses[owner]
	if u == nil {
		u = &use{}
		s.uses[owner] = u
	}
	u.Keys += keys
	u.Bytes += bytes
	s.total += bytes
	if u.Keys <= 0 {
		delete(s.uses, owner)
	}
}

// recount adds up what is kept.
func (s *State) recount() {
	s.uses, s.total = make(map[uint64]*use), 0
	for _, c := range s.Order {
		s.charge(xxhash.Sum64String(c.Customer), 1, c.cost())
	}
	for _, k := range s.Old {
		s.charge(k.Owner, 1, oldKeyCost)
	}
}

// Use returns what the claims of a customer take.
func (s *State) Use(customer string) Use {
	if u := s.uses[xxhash.Sum64String(customer)]; u != nil {
		return Use(*u)
	}
	return Use{}
}

// Bytes returns what all claims take.
func (s *State) Bytes() int64 { return s.total }

// Room reports whether a further key of a customer can be remembered. A key must be remembered for as long as a repeat may
// come, so when there is no room the request has to be refused before it runs. maxKeys is the contract's limit, 0 for none.
// One customer gets at most half of the budget, and once the budget is used up at most an equal part of it, so that no
// customer's keys shut out those of the others. All together take at most twice the budget
// and one claim for each customer.
func (s *State) Room(customer string, maxKeys int, budget int64) Denial {
	u := s.Use(customer)
	switch {
	case maxKeys > 0 && u.Keys >= maxKeys:
		return OverKeys
	case !s.fits(u, customer, budget):
		return OverMemory
	}
	return ""
}

// RoomForBody reports whether the body of an answer can be kept under the same rule.
func (s *State) RoomForBody(customer string, size int, budget int64) bool {
	u := s.Use(customer)
	u.Bytes += int64(size)
	return s.fits(u, customer, budget)
}

func (s *State) fits(u Use, customer string, budget int64) bool {
	customers := int64(len(s.uses))
	if _, known := s.uses[xxhash.Sum64String(customer)]; !known {
		customers++
	}
	if u.Bytes >= budget/2 {
		return false
	}
	return s.total < budget || u.Bytes < budget/customers
}
