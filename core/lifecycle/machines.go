package lifecycle

// TaskState is the state of a task.
type TaskState string

// States of a task.
const (
	TaskQueued    TaskState = "queued"
	TaskStarting  TaskState = "starting"
	TaskEvicting  TaskState = "evicting"
	TaskStopping  TaskState = "stopping"
	TaskFinished  TaskState = "finished"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
	TaskLost      TaskState = "lost"
)

// TaskTrigger causes a transition of a task.
type TaskTrigger string

// Triggers of a task.
const (
	// PlaceTask commits resources of a worker to the next attempt. The task counts as started from then on.
	PlaceTask TaskTrigger = "place"
	// EvictTask orders the eviction of the attempt from its worker.
	EvictTask TaskTrigger = "evict"
	// RequeueTask follows an attempt that ended without finishing the task.
	RequeueTask TaskTrigger = "requeue"
	// FinishTask follows an attempt that finished the task.
	FinishTask TaskTrigger = "finish"
	// FailTask follows a failed attempt after which no further one is allowed.
	FailTask TaskTrigger = "fail"
	// CancelTask ends a queued task or orders a placed one to stop.
	CancelTask TaskTrigger = "cancel"
	// EndCancelled follows the end of a cancelled attempt.
	EndCancelled TaskTrigger = "end_cancelled"
	// LoseTask ends a service task whose worker is lost.
	LoseTask TaskTrigger = "lose"
)

// Ended reports whether the state is final.
func (s TaskState) Ended() bool {
	return s == TaskFinished || s == TaskFailed || s == TaskCancelled || s == TaskLost
}

// Placed reports whether resources of a worker are committed to the task.
func (s TaskState) Placed() bool {
	return s == TaskStarting || s == TaskEvicting || s == TaskStopping
}

// Task is the state machine of a task.
var Task = taskMachine()

func taskMachine() *Machine[TaskState, TaskTrigger] {
	m := newMachine[TaskState, TaskTrigger]("task")
	m.permit(TaskQueued, PlaceTask, TaskStarting)
	m.permit(TaskQueued, CancelTask, TaskCancelled)
	m.permit(TaskStarting, EvictTask, TaskEvicting)
	m.permit(TaskStarting, CancelTask, TaskStopping)
	m.permit(TaskEvicting, CancelTask, TaskStopping)
	for _, placed := range []TaskState{TaskStarting, TaskEvicting} {
		m.permit(placed, RequeueTask, TaskQueued)
		m.permit(placed, FinishTask, TaskFinished)
		m.permit(placed, FailTask, TaskFailed)
		m.permit(placed, LoseTask, TaskLost)
	}
	m.permit(TaskStopping, EndCancelled, TaskCancelled)
	m.permit(TaskStopping, FinishTask, TaskFinished)
	return m
}

// EndpointState is the state of an endpoint as known to an entry.
type EndpointState string

// States of an endpoint.
const (
	EndpointUp       EndpointState = "up"
	EndpointSuspect  EndpointState = "suspect"
	EndpointDraining EndpointState = "draining"
	EndpointRemoved  EndpointState = "gone"
)

// EndpointTrigger causes a transition of an endpoint.
type EndpointTrigger string

// Triggers of an endpoint.
const (
	EndpointAnnounced EndpointTrigger = "heard"
	EndpointTimeout   EndpointTrigger = "silent"
	EndpointRemove    EndpointTrigger = "forget"
	EndpointDrain     EndpointTrigger = "drain"
	EndpointUndrain   EndpointTrigger = "undrain"
)

// Endpoint is the state machine of an endpoint.
var Endpoint = endpointMachine()

func endpointMachine() *Machine[EndpointState, EndpointTrigger] {
	m := newMachine[EndpointState, EndpointTrigger]("endpoint")
	m.permit(EndpointUp, EndpointAnnounced, EndpointUp)
	m.permit(EndpointUp, EndpointTimeout, EndpointSuspect)
	m.permit(EndpointUp, EndpointDrain, EndpointDraining)
	m.permit(EndpointSuspect, EndpointAnnounced, EndpointUp)
	m.permit(EndpointSuspect, EndpointDrain, EndpointDraining)
	m.permit(EndpointSuspect, EndpointRemove, EndpointRemoved)
	m.permit(EndpointDraining, EndpointAnnounced, EndpointDraining)
	m.permit(EndpointDraining, EndpointDrain, EndpointDraining)
	m.permit(EndpointDraining, EndpointUndrain, EndpointUp)
	m.permit(EndpointDraining, EndpointRemove, EndpointRemoved)
	m.permit(EndpointRemoved, EndpointAnnounced, EndpointUp)
	return m
}

// ZoneState is the state of an availability zone.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// ZoneTrigger causes a transition of an availability zone.
type ZoneTrigger string

// Triggers of an availability zone.
const (
	TakeZoneOut   ZoneTrigger = "take_out"
	BringZoneBack ZoneTrigger = "bring_back"
)

// Zone is the state machine of an availability zone. Taking out a zone that is out already is allowed.
var Zone = zoneMachine()

func zoneMachine() *Machine[ZoneState, ZoneTrigger] {
	m := newMachine[ZoneState, ZoneTrigger]("zone")
	m.permit(ZoneIn, TakeZoneOut, ZoneOut)
	m.permit(ZoneIn, BringZoneBack, ZoneIn)
	m.permit(ZoneOut, BringZoneBack, ZoneIn)
	m.permit(ZoneOut, TakeZoneOut, ZoneOut)
	return m
}

// RequestState is the state of a non-repeatable request.
type RequestState string

// States of a non-repeatable request.
const (
	RequestClaimed  RequestState = "claimed"
	RequestAnswered RequestState = "answered"
	RequestNotRun   RequestState = "not_run"
	RequestUnknown  RequestState = "unknown"
	RequestExpired  RequestState = "expired"
)

// RequestTrigger causes a transition of a non-repeatable request.
type RequestTrigger string

// Triggers of a non-repeatable request.
const (
	AnswerRequest RequestTrigger = "answer"
	RefuseRequest RequestTrigger = "refuse"
	LoseRequest   RequestTrigger = "lose"
	ExpireRequest RequestTrigger = "expire"
)

// Request is the state machine of a non-repeatable request. State unknown is not final: an answer that arrives later, or
// the certainty that the request did not run, still resolves it.
var Request = requestMachine()

func requestMachine() *Machine[RequestState, RequestTrigger] {
	m := newMachine[RequestState, RequestTrigger]("request")
	m.permit(RequestClaimed, AnswerRequest, RequestAnswered)
	m.permit(RequestClaimed, RefuseRequest, RequestNotRun)
	m.permit(RequestClaimed, LoseRequest, RequestUnknown)
	m.permit(RequestUnknown, AnswerRequest, RequestAnswered)
	m.permit(RequestUnknown, RefuseRequest, RequestNotRun)
	m.permit(RequestClaimed, ExpireRequest, RequestExpired)
	m.permit(RequestAnswered, ExpireRequest, RequestExpired)
	m.permit(RequestNotRun, ExpireRequest, RequestExpired)
	m.permit(RequestUnknown, ExpireRequest, RequestExpired)
	return m
}
