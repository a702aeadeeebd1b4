package operator

import (
	"time"
)

// Args declares the options and subcommands of the command line.
type Args struct {
	Entry    []string `arg:"--entry,separate" placeholder:"IP:PORT" help:"operator address of an entry; repeat for several, which are tried in order [env: VERBENAKEEL_ENTRIES, separated by commas]"`
	Token    string   `arg:"--token,env:VERBENAKEEL_TOKEN" help:"bearer token for the operator API"`
	Operator string   `arg:"--operator,env:VERBENAKEEL_OPERATOR" help:"name recorded in the audit trail; the login name by default"`
	JSON     bool     `arg:"--json" help:"print JSON instead of text"`
	Yes      bool     `arg:"--yes" help:"do not ask for confirmation before a command that affects running work"`
	CA       string   `arg:"--ca,env:VERBENAKEEL_CA" help:"PEM file with the CA certificates that sign the certificates of entries"`
	Cert     string   `arg:"--cert,env:VERBENAKEEL_CERT" help:"PEM file with the operator's certificate"`
	Key      string   `arg:"--key,env:VERBENAKEEL_KEY" help:"PEM file with the private key of the operator's certificate"`

	Contract *ContractArgs `arg:"subcommand:contract" help:"publish, show, diff and list contracts"`
	Zone     *ZoneArgs     `arg:"subcommand:zone" help:"take availability zones out of service and bring them back"`
	Endpoint *EndpointArgs `arg:"subcommand:endpoint" help:"list endpoints and shut them down gracefully"`
	Job      *JobArgs      `arg:"subcommand:job" help:"submit, cancel, list and show jobs"`
	Explain  *ExplainArgs  `arg:"subcommand:explain" help:"explain the state of a job, task, request, worker or customer"`
	Audit    *AuditArgs    `arg:"subcommand:audit" help:"list configuration changes and who made them"`
	Change   *ChangeArgs   `arg:"subcommand:change" help:"show the outcome of a change"`
	Wait     *WaitArgs     `arg:"subcommand:wait" help:"wait until a revision is in force everywhere"`
	Worker   *WorkerArgs   `arg:"subcommand:worker" help:"list workers"`
	Status   *StatusArgs   `arg:"subcommand:status" help:"show the state of entries, zones and work"`
	Settings *SettingsArgs `arg:"subcommand:settings" help:"check a settings file without starting anything"`
}

// Description returns the text above the usage in --help.
func (Args) Description() string { return "verbenakeel operates a verbenakeel deployment." }

// Epilogue returns the text below the options in --help: the exit codes and the manual.
func (Args) Epilogue() string {
	return "Exit codes: 0 ok, 1 failed, 2 invalid input, 3 conflict, 4 unknown outcome, 5 unavailable.\nManual: docs/operators.md"
}

// ContractArgs declares the subcommands of contract.
type ContractArgs struct {
	Publish *PublishArgs  `arg:"subcommand:publish" help:"publish a contract"`
	Show    *CustomerArgs `arg:"subcommand:show" help:"print the contract in force"`
	Diff    *FileArgs     `arg:"subcommand:diff" help:"compare a file with the contract in force"`
	List    *NoArgs       `arg:"subcommand:list" help:"list contracts"`
}

// NoArgs is used for commands without arguments.
type NoArgs struct{}

// PublishArgs declares the arguments of contract publish.
type PublishArgs struct {
	File string  `arg:"positional,required" help:"JSON file with the contract"`
	Base *uint64 `arg:"--base" help:"revision that the file is based on; the one in force by default"`
	Wait bool    `arg:"--wait" help:"wait until the change is in force everywhere"`
}

// FileArgs declares the arguments of contract diff.
type FileArgs struct {
	File string `arg:"positional,required" help:"JSON file with the contract"`
}

// CustomerArgs declares the arguments of contract show.
type CustomerArgs struct {
	Customer string `arg:"positional,required" help:"name of the customer"`
}

// ZoneArgs declares the subcommands of zone.
type ZoneArgs struct {
	Out  *ZoneChangeArgs `arg:"subcommand:out" help:"take a zone out of service"`
	In   *ZoneChangeArgs `arg:"subcommand:in" help:"bring a zone back into service"`
	List *NoArgs         `arg:"subcommand:list" help:"list zones"`
}

// ZoneChangeArgs declares the arguments of zone out and zone in.
type ZoneChangeArgs struct {
	Zone   string  `arg:"positional,required" help:"name of the zone"`
	Reason string  `arg:"--reason" help:"reason recorded in the audit trail"`
	Base   *uint64 `arg:"--base" help:"revision of the zone that this change is based on; the one in force by default"`
	Wait   bool    `arg:"--wait" help:"wait until the change is in force everywhere"`
}

// EndpointArgs declares the subcommands of endpoint.
type EndpointArgs struct {
	List     *NoArgs            `arg:"subcommand:list" help:"list endpoints"`
	Shutdown *ShutdownArgs      `arg:"subcommand:shutdown" help:"shut an endpoint down gracefully"`
	Cancel   *EndpointIDArgs    `arg:"subcommand:cancel-shutdown" help:"cancel a graceful shutdown"`
	Watch    *EndpointWatchArgs `arg:"subcommand:watch" help:"print state changes of an endpoint until it has drained"`
}

// ShutdownArgs declares the arguments of endpoint shutdown.
type ShutdownArgs struct {
	Endpoint string        `arg:"positional,required" help:"id of the endpoint"`
	Limit    time.Duration `arg:"--limit" help:"abort requests that are in progress for longer than this; no limit by default"`
	Base     *uint64       `arg:"--base" help:"revision of the shutdown order that this change is based on; the one in force by default"`
}

// EndpointIDArgs declares the arguments of endpoint cancel-shutdown.
type EndpointIDArgs struct {
	Endpoint string  `arg:"positional,required" help:"id of the endpoint"`
	Base     *uint64 `arg:"--base" help:"revision of the shutdown order that this change is based on; the one in force by default"`
}

// EndpointWatchArgs declares the arguments of endpoint watch.
type EndpointWatchArgs struct {
	Endpoint string        `arg:"positional,required" help:"id of the endpoint"`
	Timeout  time.Duration `arg:"--timeout" default:"10m" help:"how long to watch"`
}

// JobArgs declares the subcommands of job.
type JobArgs struct {
	Submit *SubmitArgs  `arg:"subcommand:submit" help:"submit a job for a customer"`
	Cancel *JobIDArgs   `arg:"subcommand:cancel" help:"cancel a job"`
	List   *JobListArgs `arg:"subcommand:list" help:"list jobs"`
	Show   *JobIDArgs   `arg:"subcommand:show" help:"show a job and its tasks"`
}

// SubmitArgs declares the arguments of job submit.
type SubmitArgs struct {
	Customer string `arg:"positional,required" help:"name of the customer"`
	File     string `arg:"positional,required" help:"JSON file with the job"`
}

// JobIDArgs declares the arguments of job cancel and job show.
type JobIDArgs struct {
	Job string `arg:"positional,required" help:"id of the job: customer, a slash and its name"`
}

// JobListArgs declares the arguments of job list.
type JobListArgs struct {
	Customer string `arg:"--customer" help:"list only jobs of this customer"`
}

// ExplainArgs declares the arguments of explain.
type ExplainArgs struct {
	Kind string `arg:"positional,required" help:"job, task, request, worker or customer"`
	ID   string `arg:"positional,required" help:"CUSTOMER/JOB, CUSTOMER/JOB#TASK, CUSTOMER/KEY, worker or customer"`
}

// AuditArgs declares the arguments of audit.
type AuditArgs struct {
	Object string `arg:"--object" help:"list only changes of this object, for example contract/hartwell, zone/midshire-a or endpoint/instance-01"`
	By     string `arg:"--by" help:"list only changes by this operator"`
	Limit  int    `arg:"--limit" default:"50" help:"maximum number of changes to list; older ones are left out"`
}

// ChangeArgs declares the arguments of change.
type ChangeArgs struct {
	ID string `arg:"positional,required" help:"id of the change"`
}

// WaitArgs declares the arguments of wait.
type WaitArgs struct {
	Revision uint64        `arg:"--revision,required" help:"revision that an accepted change returned"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"how long to wait"`
}

// WorkerArgs declares the subcommands of worker.
type WorkerArgs struct {
	List *NoArgs `arg:"subcommand:list" help:"list workers"`
}

// StatusArgs declares the arguments of status.
type StatusArgs struct {
	Watch bool          `arg:"--watch" help:"refresh until interrupted"`
	Every time.Duration `arg:"--every" default:"2s" help:"refresh interval with --watch"`
}

// SettingsArgs declares the subcommands of settings.
type SettingsArgs struct {
	Check *SettingsCheckArgs `arg:"subcommand:check" help:"list every problem of a settings file"`
}

// SettingsCheckArgs declares the arguments of settings check.
type SettingsCheckArgs struct {
	File string `arg:"positional,required" help:"INI file"`
	Role string `arg:"--role,required" help:"kind of process that the file is for: entry or side"`
}
