package operator

import (
	"time"
)

// Args are the arguments of the command line.
type Args struct {
	Entry    []string `arg:"--entry,separate" placeholder:"IP:PORT" help:"operator address of an entry; several are tried in turn [env: VERBENAKEEL_ENTRIES, separated by commas]"`
	Token    string   `arg:"--token,env:VERBENAKEEL_TOKEN" help:"operators' token"`
	Operator string   `arg:"--operator,env:VERBENAKEEL_OPERATOR" help:"who acts, for the audit trail; the login name by default"`
	JSON     bool     `arg:"--json" help:"print JSON for programs"`
	Yes      bool     `arg:"--yes" help:"do not ask before a command that affects running work"`
	CA       string   `arg:"--ca,env:VERBENAKEEL_CA" help:"PEM file with the authorities that sign entries' certificates"`
	Cert     string   `arg:"--cert,env:VERBENAKEEL_CERT" help:"PEM file with the operator's certificate"`
	Key      string   `arg:"--key,env:VERBENAKEEL_KEY" help:"PEM file with the key of the operator's certificate"`

	Contract *ContractArgs `arg:"subcommand:contract" help:"publish, show, diff and list contracts"`
	Zone     *ZoneArgs     `arg:"subcommand:zone" help:"take availability zones out of service and bring them back"`
	Endpoint *EndpointArgs `arg:"subcommand:endpoint" help:"list endpoints and shut them down gracefully"`
	Job      *JobArgs      `arg:"subcommand:job" help:"submit, cancel, list and show jobs"`
	Explain  *ExplainArgs  `arg:"subcommand:explain" help:"tell why something is as it is"`
	Audit    *AuditArgs    `arg:"subcommand:audit" help:"list who changed what"`
	Change   *ChangeArgs   `arg:"subcommand:change" help:"ask for the outcome of a change"`
	Wait     *WaitArgs     `arg:"subcommand:wait" help:"wait until a revision is in force everywhere"`
	Worker   *WorkerArgs   `arg:"subcommand:worker" help:"list workers"`
	Status   *StatusArgs   `arg:"subcommand:status" help:"show the state of entries, zones and work"`
	Settings *SettingsArgs `arg:"subcommand:settings" help:"check a settings file without starting anything"`
}

// Description introduces the command line.
func (Args) Description() string { return "verbenakeel operates a verbenakeel deployment." }

// Epilogue lists the exit codes.
func (Args) Epilogue() string {
	return "Exit codes: 0 ok, 1 failed, 2 invalid input, 3 conflict, 4 unknown outcome, 5 unavailable.\nHandbook: docs/operators.md"
}

// ContractArgs are the commands on contracts.
type ContractArgs struct {
	Publish *PublishArgs  `arg:"subcommand:publish" help:"put a contract into force"`
	Show    *CustomerArgs `arg:"subcommand:show" help:"print the contract in force"`
	Diff    *FileArgs     `arg:"subcommand:diff" help:"compare a file with the contract in force"`
	List    *NoArgs       `arg:"subcommand:list" help:"list contracts"`
}

// NoArgs are the arguments of a command that takes none.
type NoArgs struct{}

// PublishArgs are the arguments of contract publish.
type PublishArgs struct {
	File string  `arg:"positional,required" help:"JSON file with the contract"`
	Base *uint64 `arg:"--base" help:"revision that the file was made from; the one in force by default"`
	Wait bool    `arg:"--wait" help:"wait until the change is in force everywhere"`
}

// FileArgs name a contract file.
type FileArgs struct {
	File string `arg:"positional,required" help:"JSON file with the contract"`
}

// CustomerArgs name a customer.
type CustomerArgs struct {
	Customer string `arg:"positional,required" help:"name of the customer"`
}

// ZoneArgs are the commands on availability zones.
type ZoneArgs struct {
	Out  *ZoneChangeArgs `arg:"subcommand:out" help:"take a zone out of service"`
	In   *ZoneChangeArgs `arg:"subcommand:in" help:"bring a zone back into service"`
	List *NoArgs         `arg:"subcommand:list" help:"list zones"`
}

// ZoneChangeArgs are the arguments of zone out and zone in.
type ZoneChangeArgs struct {
	Zone   string  `arg:"positional,required" help:"name of the zone"`
	Reason string  `arg:"--reason" help:"why, for the audit trail"`
	Base   *uint64 `arg:"--base" help:"revision of the zone that this is decided from; the one in force by default"`
	Wait   bool    `arg:"--wait" help:"wait until the change is in force everywhere"`
}

// EndpointArgs are the commands on endpoints.
type EndpointArgs struct {
	List     *NoArgs          `arg:"subcommand:list" help:"list endpoints"`
	Shutdown *ShutdownArgs    `arg:"subcommand:shutdown" help:"shut an endpoint down gracefully"`
	Cancel   *EndpointIDArgs  `arg:"subcommand:cancel-shutdown" help:"cancel a graceful shutdown"`
	Watch    *EndpointIDWatch `arg:"subcommand:watch" help:"follow an endpoint until it has drained"`
}

// ShutdownArgs are the arguments of endpoint shutdown.
type ShutdownArgs struct {
	Endpoint string        `arg:"positional,required" help:"id of the endpoint"`
	Limit    time.Duration `arg:"--limit" help:"cut off requests that last longer than this; none by default"`
	Base     *uint64       `arg:"--base" help:"revision of the order that this is decided from; the one in force by default"`
}

// EndpointIDArgs name an endpoint.
type EndpointIDArgs struct {
	Endpoint string  `arg:"positional,required" help:"id of the endpoint"`
	Base     *uint64 `arg:"--base" help:"revision of the order that this is decided from; the one in force by default"`
}

// EndpointIDWatch are the arguments of endpoint watch.
type EndpointIDWatch struct {
	Endpoint string        `arg:"positional,required" help:"id of the endpoint"`
	Timeout  time.Duration `arg:"--timeout" default:"10m" help:"how long to watch"`
}

// JobArgs are the commands on jobs.
type JobArgs struct {
	Submit *SubmitArgs  `arg:"subcommand:submit" help:"submit a job for a customer"`
	Cancel *JobIDArgs   `arg:"subcommand:cancel" help:"cancel a job"`
	List   *JobListArgs `arg:"subcommand:list" help:"list jobs"`
	Show   *JobIDArgs   `arg:"subcommand:show" help:"show a job and its tasks"`
}

// SubmitArgs are the arguments of job submit.
type SubmitArgs struct {
	Customer string `arg:"positional,required" help:"name of the customer"`
	File     string `arg:"positional,required" help:"JSON file with the job"`
}

// JobIDArgs name a job.
type JobIDArgs struct {
	Job string `arg:"positional,required" help:"id of the job: customer, a slash and its name"`
}

// JobListArgs are the arguments of job list.
type JobListArgs struct {
	Customer string `arg:"--customer" help:"jobs of this customer only"`
}

// ExplainArgs are the arguments of explain.
type ExplainArgs struct {
	Kind string `arg:"positional,required" help:"job, task, request, worker or customer"`
	ID   string `arg:"positional,required" help:"CUSTOMER/JOB, CUSTOMER/JOB#TASK, CUSTOMER/KEY, worker or customer"`
}

// AuditArgs are the arguments of audit.
type AuditArgs struct {
	Object string `arg:"--object" help:"changes of this object only, for example contract/hartwell, zone/midshire-a or endpoint/instance-01"`
	By     string `arg:"--by" help:"changes by this operator only"`
	Limit  int    `arg:"--limit" default:"50" help:"number of newest changes"`
}

// ChangeArgs name a change.
type ChangeArgs struct {
	ID string `arg:"positional,required" help:"id of the change"`
}

// WaitArgs are the arguments of wait.
type WaitArgs struct {
	Revision uint64        `arg:"--revision,required" help:"revision that a change was accepted with"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"how long to wait"`
}

// WorkerArgs are the commands on workers.
type WorkerArgs struct {
	List *NoArgs `arg:"subcommand:list" help:"list workers"`
}

// StatusArgs are the arguments of status.
type StatusArgs struct {
	Watch bool          `arg:"--watch" help:"print again until interrupted"`
	Every time.Duration `arg:"--every" default:"2s" help:"time between prints with --watch"`
}

// SettingsArgs are the commands on settings.
type SettingsArgs struct {
	Check *SettingsCheckArgs `arg:"subcommand:check" help:"list every problem of a settings file"`
}

// SettingsCheckArgs are the arguments of settings check.
type SettingsCheckArgs struct {
	File string `arg:"positional,required" help:"INI file"`
	Role string `arg:"--role,required" help:"entry or side"`
}
