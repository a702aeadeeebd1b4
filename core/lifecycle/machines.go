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

// TaskTrigger moves a task.
type TaskTrigger string

// Triggers of a task.
const (
	// PlaceTask commits a worker to the next attempt. The task counts as started from here.
	PlaceTask TaskTrigger = "place"
	// EvictTask orders the attempt to leave its worker.
	EvictTask TaskTrigger = "evict"
	// RequeueTask follows an attempt that ended without finishing the task.
	RequeueTask TaskTrigger = "requeue"
	// FinishTask follows an attempt that finished the task.
	FinishTask TaskTrigger = "finish"
	// FailTask follows the last attempt that is allowed to fail.
	FailTask TaskTrigger = "fail"
	// CancelTask ends a queued task or orders a placed one to stop.
	CancelTask TaskTrigger = "cancel"
	// EndCancelled follows the end of a cancelled attempt.
	EndCancelled TaskTrigger = "end_cancelled"
	// LoseTask closes a service task whose worker is gone.
	LoseTask TaskTrigger = "lose"
)

// Ended reports whether the state is final.
func (s TaskState) Ended() bool {
	return s == TaskFinished || s == TaskFailed || s == TaskCancelled || s == TaskLost
}

// Placed reports whether a worker is committed to the task.
func (s TaskState) Placed() bool {
	return s == TaskStarting || s == TaskEvicting || s == TaskStopping
}

// Task is the life cycle of a task.
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

// EndpointState is the state of an endpoint as an entry sees it.
type EndpointState string

// States of an endpoint.
const (
	EndpointUp       EndpointState = "up"
	EndpointSuspect  EndpointState = "suspect"
	EndpointDraining EndpointState = "draining"
	EndpointGone     EndpointState = "gone"
)

// EndpointTrigger moves an endpoint.
type EndpointTrigger string

// Triggers of an endpoint.
const (
	EndpointHeard   EndpointTrigger = "heard"
	EndpointSilent  EndpointTrigger = "silent"
	EndpointForget  EndpointTrigger = "forget"
	EndpointDrain   EndpointTrigger = "drain"
	EndpointUndrain EndpointTrigger = "undrain"
)

// Endpoint is the life cycle of an endpoint.
var Endpoint = endpointMachine()

func endpointMachine() *Machine[EndpointState, EndpointTrigger] {
	m := newMachine[EndpointState, EndpointTrigger]("endpoint")
	m.permit(EndpointUp, EndpointHeard, EndpointUp)
	m.permit(EndpointUp, EndpointSilent, EndpointSuspect)
	m.permit(EndpointUp, EndpointDrain, EndpointDraining)
	m.permit(EndpointSuspect, EndpointHeard, EndpointUp)
	m.permit(EndpointSuspect, EndpointDrain, EndpointDraining)
	m.permit(EndpointSuspect, EndpointForget, EndpointGone)
	m.permit(EndpointDraining, EndpointHeard, EndpointDraining)
	m.permit(EndpointDraining, EndpointDrain, EndpointDraining)
	m.permit(EndpointDraining, EndpointUndrain, EndpointUp)
	m.permit(EndpointDraining, EndpointForget, EndpointGone)
	m.permit(EndpointGone, EndpointHeard, EndpointUp)
	return m
}

// ZoneState is the state of an availability zone.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// ZoneTrigger moves an availability zone.
type ZoneTrigger string

// Triggers of an availability zone.
const (
	TakeZoneOut   ZoneTrigger = "take_out"
	BringZoneBack ZoneTrigger = "bring_back"
)

// Zone is the life cycle of an availability zone. Taking a zone out twice is allowed.
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

// RequestTrigger moves a non-repeatable request.
type RequestTrigger string

// Triggers of a non-repeatable request.
const (
	AnswerRequest RequestTrigger = "answer"
	RefuseRequest RequestTrigger = "refuse"
	LoseRequest   RequestTrigger = "lose"
	ExpireRequest RequestTrigger = "expire"
)

// Request is the life cycle of a non-repeatable request. An answer that arrives after the outcome was given up as
// unknown still settles it, and so does certain knowledge that it did not run.
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
