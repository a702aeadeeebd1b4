package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
)

func (c *command) contractHandler() func(context.Context) error {
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

// readContract reads and checks a contract file. The file holds the contract itself, or an object with the contract under
// the key contract, as contract show --json prints it.
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

func (c *command) fetchContracts(ctx context.Context) ([]config.ContractVersion, error) {
	var list []config.ContractVersion
	err := c.client.Get(ctx, "/v1/contracts", &list)
	return list, err
}

// contractInForce returns the customer's contract that is in force; its revision is 0 if there is none.
func (c *command) contractInForce(ctx context.Context, customer string) (config.ContractVersion, error) {
	list, err := c.fetchContracts(ctx)
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
	proposed, err := readContract(a.File)
	if err != nil {
		return err
	}
	current, err := c.contractInForce(ctx, proposed.Customer)
	if err != nil {
		return err
	}
	if reduced := reductions(current, proposed); len(reduced) > 0 {
		if err := c.confirm("publishing this contract of "+proposed.Customer, reduced); err != nil {
			return err
		}
	}
	return c.submitChange(ctx, record.ConfigChange{Base: baseRevision(a.Base, current.Revision), Contract: &proposed}, a.Wait)
}

func baseRevision(pinned *uint64, inForce uint64) uint64 {
	if pinned != nil {
		return *pinned
	}
	return inForce
}

// submitChange sends a change under a new id and prints its outcome. With wait it then waits until the change is in force
// everywhere.
func (c *command) submitChange(ctx context.Context, change record.ConfigChange, wait bool) error {
	change.ID = uuid.NewString()
	out, err := c.client.Change(ctx, change)
	if err != nil {
		return err
	}
	if err := c.printOutcome(ctx, out); err != nil || !wait {
		return err
	}
	return c.waitInForce(ctx, out.Revision, defaultWaitTimeout)
}

// printOutcome prints an accepted change. A conflict is returned as an error that names the winning change, a rejection
// as one with the reason.
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
		return errdefs.New(errdefs.Conflict, fmt.Sprintf("%s is at revision %d, not %d: %s", object, out.Won, out.Change.Base, c.describeWinner(ctx, out)),
			"check `verbenakeel audit --object "+object+"`, then repeat the command, or repeat it with --base "+fmt.Sprint(out.Won))
	default:
		return errdefs.New(errdefs.Invalid, out.Reason, "correct the input and run the command again")
	}
}

// describeWinner describes the change that a conflicting change lost to.
func (c *command) describeWinner(ctx context.Context, out config.Outcome) string {
	if out.WonBy == "" {
		return "no change to it is in force"
	}
	var won config.Outcome
	if err := c.client.Get(ctx, "/v1/config/changes/"+url.PathEscape(out.WonBy), &won); err != nil {
		return "change " + out.WonBy + " won"
	}
	return fmt.Sprintf("change %s by %s at %s won", out.WonBy, won.Change.Operator, formatTime(won.Change.AtMs))
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func (c *command) showContract(ctx context.Context) error {
	customer := c.args.Contract.Show.Customer
	v, err := c.contractInForce(ctx, customer)
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
	v, err := c.contractInForce(ctx, contract.Customer)
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
		writeRow(w, "FIELD", "IN FORCE", "FILE")
		for _, d := range changes {
			writeRow(w, d.Field, d.Old, d.New)
		}
	})
}

func (c *command) listContracts(ctx context.Context) error {
	list, err := c.fetchContracts(ctx)
	if err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		writeRow(w, "CUSTOMER", "REVISION", "PRIORITY", "SERVICES", "REQUESTS/S", "MAX TASKS", "BURST CORES")
		for _, v := range list {
			var services []string
			for _, s := range v.Contract.Services {
				services = append(services, s.Name)
			}
			writeRow(w, v.Contract.Customer, v.Revision, v.Contract.Priority, strings.Join(services, ","), v.Contract.RequestsPerSecond,
				v.Contract.MaxTasks, float64(v.Contract.Burst.CPUMilli)/1000)
		}
	})
}

func (c *command) change(ctx context.Context) error {
	var out config.Outcome
	resp, _, err := c.client.send(ctx, c.client.Entries[0], "GET", "/v1/config/changes/"+url.PathEscape(c.args.Change.ID), nil)
	for i := 1; err != nil && i < len(c.client.Entries); i++ {
		resp, _, err = c.client.send(ctx, c.client.Entries[i], "GET", "/v1/config/changes/"+url.PathEscape(c.args.Change.ID), nil)
	}
	if err != nil {
		return unavailableError(strings.Join(c.client.Entries, ", "), err)
	}
	if out, err = decodeOutcome(resp); err != nil {
		return err
	}
	return c.printOutcome(ctx, out)
}

func (c *command) audit(ctx context.Context) error {
	a := c.args.Audit
	var list []config.Outcome
	path := fmt.Sprintf("/v1/audit?limit=%d&object=%s&operator=%s", a.Limit, escapeQuery(a.Object), escapeQuery(a.By))
	if err := c.client.Get(ctx, path, &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		writeRow(w, "TIME", "OPERATOR", "OBJECT", "WHAT", "FROM", "TO", "OUTCOME", "CHANGE")
		for _, o := range list {
			to, outcome := fmt.Sprint(o.Revision), string(o.Status)
			switch o.Status {
			case config.Conflict:
				to, outcome = "-", fmt.Sprintf("conflict: revision %d by change %s won", o.Won, o.WonBy)
			case config.Rejected:
				to, outcome = "-", "rejected: "+o.Reason
			}
			writeRow(w, formatTime(o.Change.AtMs), o.Change.Operator, entry.ChangedObject(o.Change), changeAction(o.Change), o.Change.Base, to, outcome, o.Change.ID)
		}
	})
}

func changeAction(change record.ConfigChange) string {
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
