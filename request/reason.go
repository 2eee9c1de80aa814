package request

// Reason is the stable code of a refusal or failure. Reasons are sentinel
// errors for use with errors.Is.
type Reason string

// Error returns the code.
func (r Reason) Error() string { return string(r) }

// The reasons. docs/OPERATIONS.md documents each one for operators.
const (
	ReasonMalformed               Reason = "malformed"
	ReasonInputTooLarge           Reason = "inputTooLarge"
	ReasonNoCatalogue             Reason = "noCatalogue"
	ReasonUnknownWorkspace        Reason = "unknownWorkspace"
	ReasonUnknownTarget           Reason = "unknownTarget"
	ReasonUnknownClass            Reason = "unknownClass"
	ReasonDeadlinePassedOnArrival Reason = "deadlineOver"
	ReasonDeadlineTooLong         Reason = "deadlineTooLong"
	ReasonDuplicateRequest        Reason = "duplicateRequest"
	ReasonKeyRequired             Reason = "keyRequired"
	ReasonKeyMalformed            Reason = "keyMalformed"
	ReasonKeyOutsideWindow        Reason = "keyOutsideWindow"
	ReasonKeyMismatch             Reason = "keyMismatch"
	ReasonKeyInProgress           Reason = "keyRunning"
	ReasonClaimLogUnavailable     Reason = "claimLogUnavailable"
	ReasonWorkspaceLimit          Reason = "workspaceLimit"
	ReasonTargetLimit             Reason = "targetLimit"
	ReasonQueueFull               Reason = "queueFull"
	ReasonNoServer                Reason = "noServer"
	ReasonDeadlineUnattainable    Reason = "deadlineUnattainable"
	ReasonLeaving                 Reason = "leaving"
	ReasonPeerUnreachable         Reason = "peerUnreachable"
	ReasonPermissionExpired       Reason = "rightEnded"
	ReasonServerUnreachable       Reason = "serverUnreachable"
	ReasonServerCold              Reason = "serverCold"
	ReasonServerFailed            Reason = "serverFailed"
	ReasonResultInvalid           Reason = "resultInvalid"
	ReasonRetryBudget             Reason = "retryBudget"
	ReasonDeadlinePassed          Reason = "deadlinePassed"
	ReasonCancelled               Reason = "cancelled"
	ReasonOutcomeUnknown          Reason = "outcomeUnknown"
	ReasonOutputNotKept           Reason = "outputNotKept"
)

// reasonTraits holds the retry rules of a reason.
type reasonTraits struct {
	reason Reason
	// retryStep is set if the step may be retried on another server, within the
	// deadline and the retry budget, provided that it is idempotent or was not
	// sent.
	retryStep bool
	// retryRequest is set if the caller may send the same request again.
	retryRequest bool
	// afterSend is set if the reason can occur after a byte was sent.
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

// ArisesAfterSend reports whether the reason can occur after a byte was sent to
// a backend server. All other reasons imply the outcome NotRun.
func (r Reason) ArisesAfterSend() bool { return r.traits().afterSend }
