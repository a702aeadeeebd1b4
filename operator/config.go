package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
)

func (c *command) contract() func(context.Context) error {
	a := c.args.Contract
	switch {
	case a.Publish != nil:
		return c.publish
	case a.Show != nil:
		return c.showContract
	case a.Diff != nil:
		return c.diffContract
	case a.List != nil:
		return c.listContracts
	}
	return nil
}

// readContract reads a contract file. The file holds the contract itself, or an object with the key contract.
func readContract(path string) (record.Contract, error) {
	var contract record.Contract
	data, err := os.ReadFile(path)
	if err != nil {
		return contract, errdefs.New(errdefs.Invalid, err.Error(), "name a readable JSON file")
	}
	var wrapped struct {
		Contract json.RawMessage `json:"contract"`
	}
	if json.Unmarshal(data, &wrapped) == nil && wrapped.Contract != nil {
		data = wrapped.Contract
	}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&contract); err != nil {
		return contract, errdefs.New(errdefs.Invalid, path+": "+err.Error(), "docs/operators.md lists the fields of a contract")
	}
	return contract, config.CheckContract(contract, nil)
}

func (c *command) contracts(ctx context.Context) ([]config.ContractVersion, error) {
	var list []config.ContractVersion
	err := c.client.Get(ctx, "/v1/contracts", &list)
	return list, err
}

// inForce returns the contract in force; its revision is 0 if there is none.
func (c *command) inForce(ctx context.Context, customer string) (config.ContractVersion, error) {
	list, err := c.contracts(ctx)
	if err != nil {
		return config.ContractVersion{}, err
	}
	for _, v := range list {
		if v.Contract.Customer == customer {
			return v, nil
		}
	}
	return config.ContractVersion{}, nil
}

func (c *command) publish(ctx context.Context) error {
	a := c.args.Contract.Publish
	contract, err := readContract(a.File)
	if err != nil {
		return err
	}
	old, err := c.inForce(ctx, contract.Customer)
	if err != nil {
		return err
	}
	if lowered := lowers(old, contract); len(lowered) > 0 {
		if err := c.confirm("publishing this contract of "+contract.Customer, lowered); err != nil {
			return err
		}
	}
	return c.makeChange(ctx, record.ConfigChange{Base: base(a.Base, old.Revision), Contract: &contract}, a.Wait)
}

func base(pinned *uint64, inForce uint64) uint64 {
	if pinned != nil {
		return *pinned
	}
	return inForce
}

// makeChange sends a change under an id made here and prints its outcome.
func (c *command) makeChange(ctx context.Context, change record.ConfigChange, wait bool) error {
	change.ID = uuid.NewString()
	out, err := c.client.Change(ctx, change)
	if err != nil {
		return err
	}
	if err := c.printOutcome(ctx, out); err != nil || !wait {
		return err
	}
	return c.waitInForce(ctx, out.Revision, defaultWait)
}

// printOutcome prints an accepted change. Any other outcome is an error that tells what won.
func (c *command) printOutcome(ctx context.Context, out config.Outcome) error {
	object := entry.ChangedObject(out.Change)
	switch out.Status {
	case config.Accepted:
		return c.print(out, func(w io.Writer) {
			fmt.Fprintf(w, "accepted: %s is at revision %d (change %s)\n", object, out.Revision, out.Change.ID)
		})
	case config.Conflict:
		if c.args.JSON {
			_ = json.NewEncoder(c.Out).Encode(out)
		}
		return errdefs.New(errdefs.Conflict, fmt.Sprintf("%s is at revision %d, not %d: %s", object, out.Won, out.Change.Base, c.winner(ctx, out)),
			"look at what won (`verbenakeel audit --object "+object+"`), then run the command again or pin --base "+fmt.Sprint(out.Won))
	default:
		return errdefs.New(errdefs.Invalid, out.Reason, "correct the input and run the command again")
	}
}

// winner describes the change that won.
func (c *command) winner(ctx context.Context, out config.Outcome) string {
	if out.WonBy == "" {
		return "no change of it is in force"
	}
	var won config.Outcome
	if err := c.client.Get(ctx, "/v1/config/changes/"+out.WonBy, &won); err != nil {
		return "change " + out.WonBy + " won"
	}
	return fmt.Sprintf("change %s by %s at %s won", out.WonBy, won.Change.Operator, timeText(won.Change.AtMs))
}

func timeText(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func (c *command) showContract(ctx context.Context) error {
	customer := c.args.Contract.Show.Customer
	v, err := c.inForce(ctx, customer)
	if err != nil {
		return err
	}
	if v.Revision == 0 {
		return errdefs.New(errdefs.NotFound, "customer "+customer+" has no contract", "list contracts with `verbenakeel contract list`")
	}
	if c.args.JSON {
		return json.NewEncoder(c.Out).Encode(v)
	}
	text, err := json.MarshalIndent(v.Contract, "", "  ")
	if err != nil {
		return fmt.Errorf("encode contract: %w", err)
	}
	fmt.Fprintf(c.Out, "%s\n", text)
	fmt.Fprintf(c.Err, "revision %d, change %s\n", v.Revision, v.Change)
	return nil
}

func (c *command) diffContract(ctx context.Context) error {
	contract, err := readContract(c.args.Contract.Diff.File)
	if err != nil {
		return err
	}
	v, err := c.inForce(ctx, contract.Customer)
	if err != nil {
		return err
	}
	changes := diff(v.Contract, contract)
	return c.print(map[string]any{"customer": contract.Customer, "revision": v.Revision, "changes": changes}, func(w io.Writer) {
		if len(changes) == 0 {
			fmt.Fprintf(w, "the file equals the contract in force (revision %d)\n", v.Revision)
			return
		}
		fmt.Fprintf(w, "against revision %d:\n", v.Revision)
		row(w, "FIELD", "IN FORCE", "FILE")
		for _, d := range changes {
			row(w, d.Field, d.Old, d.New)
		}
	})
}

func (c *command) listContracts(ctx context.Context) error {
	list, err := c.contracts(ctx)
	if err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		row(w, "CUSTOMER", "REVISION", "PRIORITY", "SERVICES", "REQUESTS/S", "MAX TASKS", "BURST CORES")
		for _, v := range list {
			var services []string
			for _, s := range v.Contract.Services {
				services = append(services, s.Name)
			}
			row(w, v.Contract.Customer, v.Revision, v.Contract.Priority, strings.Join(services, ","), v.Contract.RequestsPerSecond,
				v.Contract.MaxTasks, float64(v.Contract.Burst.CPUMilli)/1000)
		}
	})
}

func (c *command) change(ctx context.Context) error {
	var out config.Outcome
	a, _, err := c.client.send(ctx, c.client.Entries[0], "GET", "/v1/config/changes/"+c.args.Change.ID, nil)
	for i := 1; err != nil && i < len(c.client.Entries); i++ {
		a, _, err = c.client.send(ctx, c.client.Entries[i], "GET", "/v1/config/changes/"+c.args.Change.ID, nil)
	}
	if err != nil {
		return unavailable(strings.Join(c.client.Entries, ", "), err)
	}
	if out, err = outcomeOf(a); err != nil {
		return err
	}
	return c.printOutcome(ctx, out)
}

func (c *command) audit(ctx context.Context) error {
	a := c.args.Audit
	var list []config.Outcome
	path := fmt.Sprintf("/v1/audit?limit=%d&object=%s&operator=%s", a.Limit, query(a.Object), query(a.By))
	if err := c.client.Get(ctx, path, &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		row(w, "TIME", "OPERATOR", "OBJECT", "WHAT", "FROM", "TO", "OUTCOME", "CHANGE")
		for _, o := range list {
			to, outcome := fmt.Sprint(o.Revision), string(o.Status)
			switch o.Status {
			case config.Conflict:
				to, outcome = "-", fmt.Sprintf("conflict: revision %d by change %s won", o.Won, o.WonBy)
			case config.Rejected:
				to, outcome = "-", "rejected: "+o.Reason
			}
			row(w, timeText(o.Change.AtMs), o.Change.Operator, entry.ChangedObject(o.Change), whatOf(o.Change), o.Change.Base, to, outcome, o.Change.ID)
		}
	})
}

func whatOf(change record.ConfigChange) string {
	switch {
	case change.Contract != nil:
		return "publish"
	case change.Zone != nil:
		text := map[bool]string{true: "out", false: "in"}[change.Zone.Out]
		if change.Zone.Reason != "" {
			text += " (" + change.Zone.Reason + ")"
		}
		return text
	case change.Shutdown != nil && change.Shutdown.Drain:
		return "shutdown"
	}
	return "cancel shutdown"
}
