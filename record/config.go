package record

// ConfigChange is a change of one object of the configuration. It takes effect only if Base is the object's current
// revision.
type ConfigChange struct {
	// ID is unique; operators query the outcome by it.
	ID string `cbor:"1,keyasint" json:"id"`
	// Operator is the name of the operator who made the change.
	Operator string `cbor:"2,keyasint,omitempty" json:"operator"`
	// AtMs is the Unix time in milliseconds at which the entry received the change.
	AtMs int64 `cbor:"3,keyasint,omitempty" json:"at_ms"`
	// Base is the object's revision that the change is based on; 0 for a new object.
	Base uint64 `cbor:"4,keyasint,omitempty" json:"base"`
	// Contract is the new contract.
	Contract *Contract `cbor:"5,keyasint,omitempty" json:"contract,omitempty"`
	// Zone takes an availability zone out of service or puts it back.
	Zone *ZoneChange `cbor:"6,keyasint,omitempty" json:"zone,omitempty"`
	// Shutdown orders or cancels the graceful shutdown of an endpoint.
	Shutdown *ShutdownChange `cbor:"7,keyasint,omitempty" json:"shutdown,omitempty"`
}

// ZoneChange is the desired state of an availability zone.
type ZoneChange struct {
	// Zone is the zone's name.
	Zone string `cbor:"1,keyasint" json:"zone"`
	// Out is true if the zone is out of service.
	Out bool `cbor:"2,keyasint,omitempty" json:"out"`
	// Reason is the operator's reason.
	Reason string `cbor:"3,keyasint,omitempty" json:"reason"`
}

// ShutdownChange orders or cancels the graceful shutdown of an endpoint.
type ShutdownChange struct {
	// Endpoint is the id of the side process of the endpoint.
	Endpoint string `cbor:"1,keyasint" json:"endpoint"`
	// Drain is true to order the shutdown and false to cancel it.
	Drain bool `cbor:"2,keyasint,omitempty" json:"drain"`
	// LimitMs bounds the time that requests in progress may still take, in milliseconds; 0 for no limit.
	LimitMs int64 `cbor:"3,keyasint,omitempty" json:"limit_ms"`
}

// Priority is the priority class of a customer's work.
type Priority string

// Priority classes.
const (
	// Critical work is shed last.
	Critical Priority = "critical"
	// Standard work is shed before critical work.
	Standard Priority = "standard"
	// BestEffort work is shed first.
	BestEffort Priority = "best_effort"
)

// Contract states every limit on a customer's work.
type Contract struct {
	// Customer is the customer's name.
	Customer string `cbor:"1,keyasint" json:"customer"`
	// Priority is the priority class of the customer's work.
	Priority Priority `cbor:"2,keyasint,omitempty" json:"priority"`
	// Guaranteed is the part of the fleet that the customer is guaranteed to get within bounded time.
	Guaranteed Resources `cbor:"3,keyasint,omitempty" json:"guaranteed"`
	// Burst bounds what the customer may use while others leave resources idle.
	Burst Resources `cbor:"4,keyasint,omitempty" json:"burst"`
	// RequestsPerSecond limits the request rate over all entries together; 0 allows no requests.
	RequestsPerSecond int `cbor:"5,keyasint,omitempty" json:"requests_per_second"`
	// RequestBurst is the depth of the token bucket over all entries together.
	RequestBurst int `cbor:"6,keyasint,omitempty" json:"request_burst"`
	// Concurrency limits the requests in progress over all entries together.
	Concurrency int `cbor:"7,keyasint,omitempty" json:"concurrency"`
	// MaxTasks limits the customer's batch and long-running tasks that run concurrently; 0 refuses all jobs.
	MaxTasks int `cbor:"8,keyasint,omitempty" json:"max_tasks"`
	// MaxQueued limits the customer's queued jobs.
	MaxQueued int `cbor:"9,keyasint,omitempty" json:"max_queued"`
	// Services lists the customer's latency-critical services.
	Services []Service `cbor:"10,keyasint,omitempty" json:"services"`
	// TokenSHA256 lists hex SHA-256 sums of the customer's tokens.
	TokenSHA256 []string `cbor:"11,keyasint,omitempty" json:"token_sha256"`
	// MaxKeys limits the idempotency keys that a region stores for the customer, each for 24 h; 0 for no limit per customer.
	MaxKeys int `cbor:"12,keyasint,omitempty" json:"max_keys,omitempty"`
}

// Service is one latency-critical service of a customer.
type Service struct {
	// Name is the first segment of the request path; unique over all contracts.
	Name string `cbor:"1,keyasint" json:"name"`
	// DeadlineMs is the deadline of requests that set none, in milliseconds.
	DeadlineMs int64 `cbor:"2,keyasint,omitempty" json:"deadline_ms"`
	// Once lists the requests that may run at most once.
	Once []OnceRule `cbor:"3,keyasint,omitempty" json:"once"`
	// Public is true if callers need no token.
	Public bool `cbor:"4,keyasint,omitempty" json:"public"`
}

// OnceRule matches requests that may run at most once. They need an Idempotency-Key header.
type OnceRule struct {
	// Method is the HTTP method.
	Method string `cbor:"1,keyasint" json:"method"`
	// Prefix is a prefix of the path after the service's name, including the leading slash.
	Prefix string `cbor:"2,keyasint" json:"prefix"`
}
