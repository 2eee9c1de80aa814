package request

// Reason is the stable code of a refusal or failure. Reasons are sentinel
// errors for use with errors.Is.
type Reason string

// Error returns the code.
func (r Reason) Error() string { return string(r) }

// The reasons. docs/OPERATIONS.md documents for operators what to do about each.
const (
	// The request or message is malformed.
	ReasonMalformed Reason = "malformed"
	// The input exceeds the limit of the target.
	ReasonInputTooLarge Reason = "inputTooLarge"
	// The instance has not loaded a catalogue yet.
	ReasonNoCatalogue Reason = "noCatalogue"
	// The workspace is not in the catalogue.
	ReasonUnknownWorkspace Reason = "unknownWorkspace"
	// No pipeline or service has the name.
	ReasonUnknownTarget Reason = "unknownTarget"
	// A class that applies to the request is not in the catalogue.
	ReasonUnknownClass Reason = "unknownClass"
	// The deadline had passed when the request arrived.
	ReasonDeadlinePassedOnArrival Reason = "deadlineOver"
	// The deadline is further ahead than the target allows.
	ReasonDeadlineTooLong Reason = "deadlineTooLong"
	// A request with the same workspace and ID is in flight.
	ReasonDuplicateRequest Reason = "duplicateRequest"
	// The target is not repeatable, and the request has no idempotency key.
	ReasonKeyRequired Reason = "keyRequired"
	// The idempotency key is not a UUIDv7.
	ReasonKeyMalformed Reason = "keyMalformed"
	// The timestamp of the idempotency key is too old or too far in the future,
	// or precedes the claims that the instance has read.
	ReasonKeyOutsideWindow Reason = "keyOutsideWindow"
	// The idempotency key was used for a different request or workspace.
	ReasonKeyMismatch Reason = "keyMismatch"
	// A request with the same idempotency key may be running.
	ReasonKeyInProgress Reason = "keyRunning"
	// The log of claims on idempotency keys is unavailable.
	ReasonClaimLogUnavailable Reason = "claimLogUnavailable"
	// The workspace has reached its limit of requests in flight.
	ReasonWorkspaceLimit Reason = "workspaceLimit"
	// The target has reached its limit of requests in flight.
	ReasonTargetLimit Reason = "targetLimit"
	// The instance, the queue of the pool or the engine is full.
	ReasonQueueFull Reason = "queueFull"
	// No backend server can execute the step at present.
	ReasonNoServer Reason = "noServer"
	// The expected queue and service times exceed the time until the deadline.
	ReasonDeadlineUnattainable Reason = "deadlineUnattainable"
	// The instance is shutting down.
	ReasonLeaving Reason = "leaving"
	// Another instance could not be reached.
	ReasonPeerUnreachable Reason = "peerUnreachable"
	// The permission of the instance to dispatch for the pool has expired, or the
	// step was forwarded too often.
	ReasonPermissionExpired Reason = "rightEnded"
	// The backend server could not be reached.
	ReasonServerUnreachable Reason = "serverUnreachable"
	// The backend server refused the step because it is in cold start or overloaded.
	ReasonServerCold Reason = "serverCold"
	// The backend server returned an error.
	ReasonServerFailed Reason = "serverFailed"
	// The result is incomplete or belongs to another attempt.
	ReasonResultInvalid Reason = "resultInvalid"
	// The retry budget is used up; the detail is the failure of the last attempt.
	ReasonRetryBudget Reason = "retryBudget"
	// A part of the prompt has crashed engines, and requests with it are refused.
	ReasonPromptQuarantined Reason = "promptQuarantined"
	// The deadline passed before the request or step finished.
	ReasonDeadlinePassed Reason = "deadlinePassed"
	// The request was cancelled.
	ReasonCancelled Reason = "cancelled"
	// It is unknown whether the request ran.
	ReasonOutcomeUnknown Reason = "outcomeUnknown"
	// The request ran earlier, and its output is not stored with its claim.
	ReasonOutputNotKept Reason = "outputNotKept"
)

// reasonTraits holds the retry rules of a reason and whether it can occur after a
// send.
type reasonTraits struct {
	reason Reason
	// retryStep is set if the step may be retried on another server, within the
	// deadline and the retry budget, provided that it is idempotent or was not
	// sent.
	retryStep bool
	// retryRequest is set if the caller may send the same request again.
	retryRequest bool
	// afterSend is set if a failure with the reason can have Sent set, because of this
	// attempt, an earlier attempt or stage, or an earlier run with the same key.
	afterSend bool
}

var traits = []reasonTraits{
	{ReasonMalformed, false, false, false},
	{ReasonInputTooLarge, false, false, false},
	{ReasonNoCatalogue, false, true, false},
	{ReasonUnknownWorkspace, false, false, false},
	{ReasonUnknownTarget, false, false, false},
	{ReasonUnknownClass, false, false, false},
	{ReasonDeadlinePassedOnArrival, false, false, false},
	{ReasonDeadlineTooLong, false, false, false},
	{ReasonDuplicateRequest, false, false, false},
	{ReasonKeyRequired, false, false, false},
	{ReasonKeyMalformed, false, false, false},
	{ReasonKeyOutsideWindow, false, false, false},
	{ReasonKeyMismatch, false, false, false},
	{ReasonKeyInProgress, false, true, true},
	{ReasonClaimLogUnavailable, false, true, false},
	{ReasonWorkspaceLimit, false, true, false},
	{ReasonTargetLimit, false, true, false},
	{ReasonQueueFull, true, true, true},
	{ReasonNoServer, true, true, true},
	{ReasonDeadlineUnattainable, true, true, true},
	{ReasonLeaving, true, true, true},
	{ReasonPeerUnreachable, true, true, true},
	{ReasonPermissionExpired, true, true, true},
	{ReasonServerUnreachable, true, true, true},
	{ReasonServerCold, true, true, true},
	{ReasonPromptQuarantined, false, true, true},
	{ReasonServerFailed, true, true, true},
	{ReasonResultInvalid, true, true, true},
	{ReasonRetryBudget, false, true, true},
	{ReasonDeadlinePassed, false, true, true},
	{ReasonCancelled, false, false, true},
	{ReasonOutcomeUnknown, false, false, true},
	{ReasonOutputNotKept, false, false, true},
}

// Reasons returns all reasons in a fixed order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(traits))
	for _, t := range traits {
		all = append(all, t.reason)
	}
	return all
}

func (r Reason) traits() reasonTraits {
	for _, t := range traits {
		if t.reason == r {
			return t
		}
	}
	return reasonTraits{reason: r, afterSend: true}
}

// AllowsStepRetry reports whether a step that failed for this reason may be retried
// on another server.
func (r Reason) AllowsStepRetry() bool { return r.traits().retryStep }

// AvoidsDataCentre reports whether a step that was refused for this reason
// should be retried in another data centre.
func (r Reason) AvoidsDataCentre() bool {
	switch r {
	case ReasonNoServer, ReasonQueueFull, ReasonDeadlineUnattainable, ReasonLeaving, ReasonPermissionExpired:
		return true
	}
	return false
}

// AllowsRequestRetry reports whether the caller may send the request again.
func (r Reason) AllowsRequestRetry() bool { return r.traits().retryRequest }

// ArisesAfterSend reports whether the reason can occur after a byte was sent to a
// backend server, by this or an earlier attempt. All other reasons imply the outcome
// NotRun.
func (r Reason) ArisesAfterSend() bool { return r.traits().afterSend }
