package config

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
)

// nameFormat allows only names that are safe in paths, ids and stream names.
var nameFormat = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// reserved holds names that collide with path segments of the entry's own API.
var reserved = map[string]bool{"v1": true, "-": true}

// Check returns an error for the first invalid field of a change.
func Check(change record.ConfigChange, s *State) error {
	if change.ID == "" {
		return errdefs.Field("id", "is empty", "give the change a unique id")
	}
	set := 0
	if change.Contract != nil {
		set++
	}
	if change.Zone != nil {
		set++
	}
	if change.Shutdown != nil {
		set++
	}
	if set != 1 {
		return errdefs.Field("change", "must name one contract, zone or shutdown", "send one change each")
	}
	switch {
	case change.Contract != nil:
		return CheckContract(*change.Contract, s)
	case change.Zone != nil:
		return checkName("zone.zone", change.Zone.Zone)
	default:
		return checkShutdown(*change.Shutdown)
	}
}

func checkName(field, name string) error {
	if !nameFormat.MatchString(name) {
		return errdefs.Field(field, fmt.Sprintf("%q is not a name", name),
			"use 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit")
	}
	return nil
}

func checkShutdown(c record.ShutdownChange) error {
	if c.Endpoint == "" {
		return errdefs.Field("shutdown.endpoint", "is empty", "name the endpoint as `verbenakeel endpoint list` prints it")
	}
	if c.LimitMs < 0 {
		return errdefs.Field("shutdown.limit_ms", "is negative", "use 0 for no limit or a positive number of milliseconds")
	}
	return nil
}

// CheckContract returns an error for the first invalid field of a contract. If s is nil, service names are not checked
// against those of other contracts.
func CheckContract(c record.Contract, s *State) error {
	if err := checkName("contract.customer", c.Customer); err != nil {
		return err
	}
	switch c.Priority {
	case record.Critical, record.Standard, record.BestEffort:
	default:
		return errdefs.Field("contract.priority", fmt.Sprintf("%q is unknown", c.Priority),
			"use critical, standard or best_effort")
	}
	if err := checkResources(c); err != nil {
		return err
	}
	for _, n := range []struct {
		field string
		value int
	}{
		{"requests_per_second", c.RequestsPerSecond}, {"request_burst", c.RequestBurst},
		{"concurrency", c.Concurrency}, {"max_tasks", c.MaxTasks}, {"max_queued", c.MaxQueued}, {"max_keys", c.MaxKeys},
	} {
		if n.value < 0 {
			return errdefs.Field("contract."+n.field, "is negative", "use 0 or a positive number")
		}
	}
	for i, sum := range c.TokenSHA256 {
		if raw, err := hex.DecodeString(sum); err != nil || len(raw) != 32 {
			return errdefs.Field(fmt.Sprintf("contract.token_sha256[%d]", i), "is not a SHA-256 sum",
				"give the 64 hex digits of the token's SHA-256")
		}
	}
	return checkServices(c, s)
}

func checkResources(c record.Contract) error {
	zero := record.Resources{}
	if !zero.Fits(c.Guaranteed) {
		return errdefs.Field("contract.guaranteed", "is negative", "use 0 or positive amounts")
	}
	if !c.Guaranteed.Fits(c.Burst) {
		return errdefs.Field("contract.burst", "is below the guaranteed share", "raise burst to at least guaranteed")
	}
	return nil
}

func checkServices(c record.Contract, s *State) error {
	seen := make(map[string]bool)
	for i, svc := range c.Services {
		field := fmt.Sprintf("contract.services[%d]", i)
		if err := checkName(field+".name", svc.Name); err != nil {
			return err
		}
		if reserved[svc.Name] || seen[svc.Name] {
			return errdefs.Field(field+".name", fmt.Sprintf("%q is taken", svc.Name), "choose another name")
		}
		seen[svc.Name] = true
		if s != nil {
			if owner, ok := s.serviceOwners[svc.Name]; ok && owner != c.Customer {
				return errdefs.Field(field+".name", fmt.Sprintf("%q belongs to customer %s", svc.Name, owner),
					"choose another name")
			}
		}
		if svc.DeadlineMs <= 0 {
			return errdefs.Field(field+".deadline_ms", "must be positive", "give the default deadline in milliseconds")
		}
		for j, rule := range svc.Once {
			if rule.Method == "" || !strings.HasPrefix(rule.Prefix, "/") {
				return errdefs.Field(fmt.Sprintf("%s.once[%d]", field, j), "needs a method and a prefix that starts with /",
					"write for example {\"method\":\"POST\",\"prefix\":\"/clearance\"}")
			}
		}
	}
	return nil
}
