package claims

import "github.com/cespare/xxhash/v2"

// Resident memory of one entry of each kind, in bytes, without the key and the body.
const (
	claimBytes      = 2200
	expiredKeyBytes = 310
)

// Use is the memory use of one customer's claims.
type Use struct {
	// Keys is the number of stored keys.
	Keys int
	// Bytes is the memory that keys and answers occupy.
	Bytes int64
}

// customerUse is the internal form of Use, against which limits are checked.
type customerUse Use

// Denial is the reason why no further key of a customer can be stored. Empty means that there is free capacity.
type Denial string

// Denials.
const (
	// OverKeys means that the contract's limit of keys is reached.
	OverKeys Denial = "keys"
	// OverMemory means that the customer has used up its share of the memory budget.
	OverMemory Denial = "memory"
)

func (c *Claim) memoryBytes() int64 { return claimBytes + int64(len(c.Key)+len(c.Body)) }

func (s *State) addUsage(customerHash uint64, keys int, bytes int64) {
	u := s.usage[customerHash]
	if u == nil {
		u = &customerUse{}
		s.usage[customerHash] = u
	}
	u.Keys += keys
	u.Bytes += bytes
	s.totalBytes += bytes
	if u.Keys <= 0 {
		delete(s.usage, customerHash)
	}
}

// rebuildUsage recomputes the usage of all customers from the stored claims.
func (s *State) rebuildUsage() {
	s.usage, s.totalBytes = make(map[uint64]*customerUse), 0
	for _, c := range s.Claims {
		s.addUsage(xxhash.Sum64String(c.Customer), 1, c.memoryBytes())
	}
	for _, k := range s.ExpiredKeys {
		s.addUsage(k.Owner, 1, expiredKeyBytes)
	}
}

// Use returns the memory use of a customer's claims.
func (s *State) Use(customer string) Use {
	if u := s.usage[xxhash.Sum64String(customer)]; u != nil {
		return Use(*u)
	}
	return Use{}
}

// Bytes returns the memory use of all claims.
func (s *State) Bytes() int64 { return s.totalBytes }

// CheckCapacity checks whether a further key of a customer can be stored. A key must be stored for as long as a repeat
// may arrive, so a request without capacity for its key must be refused before it runs. maxKeys is the contract's limit,
// 0 for none. One customer gets at most half of the budget, and at most an equal share of it once the budget is used up,
// so that no customer's keys starve those of the others. All customers together use at most twice the budget and one
// claim for each customer.
func (s *State) CheckCapacity(customer string, maxKeys int, budget int64) Denial {
	u := s.Use(customer)
	switch {
	case maxKeys > 0 && u.Keys >= maxKeys:
		return OverKeys
	case !s.withinBudget(u, customer, budget):
		return OverMemory
	}
	return ""
}

// HasCapacityForBody reports whether the body of an answer can be stored under the same rule.
func (s *State) HasCapacityForBody(customer string, size int, budget int64) bool {
	u := s.Use(customer)
	u.Bytes += int64(size)
	return s.withinBudget(u, customer, budget)
}

func (s *State) withinBudget(u Use, customer string, budget int64) bool {
	customers := int64(len(s.usage))
	if _, known := s.usage[xxhash.Sum64String(customer)]; !known {
		customers++
	}
	if u.Bytes >= budget/2 {
		return false
	}
	return s.totalBytes < budget || u.Bytes < budget/customers
}
