package refuser

import "net/http"

// A Code is a numeric result code. Codes are stable and never reused.
type Code int

// The result codes. 1xxx concern the request itself, 2xxx capacity and time, 3xxx failures of backend servers, 4xxx
// non-idempotent requests, 5xxx the configuration and the platform.
const (
	CodeOK Code = 0

	CodeMalformedRequest    Code = 1001
	CodeUnknownDeployment   Code = 1002
	CodeRequestTooLarge     Code = 1003
	CodeUnknownPath         Code = 1004
	CodeMethodNotAllowed    Code = 1005
	CodeInvalidHeader       Code = 1006
	CodeRequestTimeout      Code = 1007
	CodeTooManyConnections  Code = 1008
	CodeUnsupportedEncoding Code = 1009
	CodeUnauthenticated     Code = 1010

	CodeDeadlineUnreachable Code = 2001
	CodeDeadlineExpired     Code = 2002
	CodeQueueFull           Code = 2003
	CodeColdStartTooSlow    Code = 2004
	CodeNoCapacity          Code = 2005
	CodeDaemonStopping      Code = 2006
	CodeOverloaded          Code = 2007
	CodeQuotaExceeded       Code = 2008
	CodeQuotaUnknown        Code = 2009

	CodeServerFailed        Code = 3001
	CodeStreamBroken        Code = 3002
	CodeRetryBudgetSpent    Code = 3003
	CodePoisonRequest       Code = 3004
	CodeForwardFailed       Code = 3005
	CodeNoServer            Code = 3006
	CodeServerRefused       Code = 3007
	CodeCallerLeft          Code = 3008
	CodePoisonHeldBack      Code = 3009
	CodeStreamOriginUnknown Code = 3010
	CodeNoLink              Code = 3011

	CodeIdempotencyKeyMissing Code = 4001
	CodeIdempotencyKeyReused  Code = 4002
	CodeAlreadyInProgress     Code = 4003
	CodeAlreadyRan            Code = 4004
	CodeOutcomeUnknown        Code = 4005
	CodeClaimUnavailable      Code = 4006
	CodeIdempotencyKeyExpired Code = 4007
	CodeIdempotencyKeyInvalid Code = 4008

	CodeNoConfiguration       Code = 5001
	CodeStoreUnavailable      Code = 5002
	CodeVersionConflict       Code = 5003
	CodeInvalidSettings       Code = 5004
	CodeConfigurationUnproved Code = 5005
)

// A description is a code's row in the table in docs/RESULT-CODES.md.
type description struct {
	code   Code
	name   string
	status int
	text   string
}

var descriptions = []description{
	{CodeOK, "OK", http.StatusOK, "The request was served."},
	{CodeMalformedRequest, "MalformedRequest", http.StatusBadRequest, "The body is not the JSON that the path expects."},
	{CodeUnknownDeployment, "UnknownDeployment", http.StatusNotFound, "No deployment, adapter or service has this name in the configuration in force."},
	{CodeRequestTooLarge, "RequestTooLarge", http.StatusRequestEntityTooLarge, "The header or body is larger than the limit."},
	{CodeUnknownPath, "UnknownPath", http.StatusNotFound, "The path is not part of the callers' interface."},
	{CodeMethodNotAllowed, "MethodNotAllowed", http.StatusMethodNotAllowed, "The path does not take this method."},
	{CodeInvalidHeader, "InvalidHeader", http.StatusBadRequest, "A header has a value that is not accepted; the detail names it."},
	{CodeRequestTimeout, "RequestTimeout", http.StatusRequestTimeout, "The caller sent its request too slowly."},
	{CodeTooManyConnections, "TooManyConnections", http.StatusServiceUnavailable, "The daemon holds as many connections as it may."},
	{CodeUnsupportedEncoding, "UnsupportedEncoding", http.StatusUnsupportedMediaType, "The content type or encoding is not accepted."},
	{CodeUnauthenticated, "Unauthenticated", http.StatusUnauthorized, "The request has no key, or one that no workspace of the configuration in force has."},
	{CodeDeadlineUnreachable, "DeadlineUnreachable", http.StatusServiceUnavailable, "The predicted finish is past the request's deadline."},
	{CodeDeadlineExpired, "DeadlineExpired", http.StatusGatewayTimeout, "The deadline passed before the request was served."},
	{CodeQueueFull, "QueueFull", http.StatusTooManyRequests, "The deployment's queue is full."},
	{CodeColdStartTooSlow, "ColdStartTooSlow", http.StatusServiceUnavailable, "The deployment is not loaded and can't be loaded before the deadline."},
	{CodeNoCapacity, "NoCapacity", http.StatusServiceUnavailable, "No backend server has memory for the deployment now."},
	{CodeDaemonStopping, "DaemonStopping", http.StatusServiceUnavailable, "The daemon is stopping; ask for addresses again."},
	{CodeOverloaded, "Overloaded", http.StatusTooManyRequests, "The daemon has as many requests as it may hold."},
	{CodeQuotaExceeded, "QuotaExceeded", http.StatusTooManyRequests, "The request exceeds the quota of its workspace; it was not run."},
	{CodeQuotaUnknown, "QuotaUnknown", http.StatusServiceUnavailable, "No daemon that keeps the quota of the workspace answers; it was not run."},
	{CodeServerFailed, "ServerFailed", http.StatusBadGateway, "The backend server failed and the request may not or can't be retried."},
	{CodeStreamBroken, "StreamBroken", http.StatusBadGateway, "The answer broke off and could not be resumed."},
	{CodeRetryBudgetSpent, "RetryBudgetSpent", http.StatusServiceUnavailable, "The backend server failed and the retry budget is spent."},
	{CodePoisonRequest, "PoisonRequest", http.StatusUnprocessableEntity, "The request crashed the backend servers that ran it."},
	{CodeForwardFailed, "ForwardFailed", http.StatusBadGateway, "The daemon responsible for the request could not be reached."},
	{CodeNoServer, "NoServer", http.StatusServiceUnavailable, "No backend server of the service is live."},
	{CodeServerRefused, "ServerRefused", http.StatusServiceUnavailable, "Every backend server tried refused the request before running it."},
	{CodeCallerLeft, "CallerLeft", 499, "The caller closed its connection."},
	{CodePoisonHeldBack, "PoisonHeldBack", http.StatusServiceUnavailable, "Earlier requests like this one crashed the backend servers that ran them; this one was not run."},
	{CodeStreamOriginUnknown, "StreamOriginUnknown", http.StatusServiceUnavailable, "No daemon knows which software version began the stream, and servers of several versions serve or may do so; it was not resumed."},
	{CodeNoLink, "NoLink", http.StatusServiceUnavailable, "The daemon reaches no backend server, and no other daemon took the request; it was not run."},
	{CodeIdempotencyKeyMissing, "IdempotencyKeyMissing", http.StatusBadRequest, "A request that must not be repeated carries no Idempotency-Key."},
	{CodeIdempotencyKeyReused, "IdempotencyKeyReused", http.StatusUnprocessableEntity, "The Idempotency-Key was used before for another request."},
	{CodeAlreadyInProgress, "AlreadyInProgress", http.StatusConflict, "A request with this Idempotency-Key is being run."},
	{CodeAlreadyRan, "AlreadyRan", http.StatusConflict, "The request ran before; its answer was too large to keep."},
	{CodeOutcomeUnknown, "OutcomeUnknown", http.StatusConflict, "The request may have run before; it will not be run again."},
	{CodeClaimUnavailable, "ClaimUnavailable", http.StatusServiceUnavailable, "The claim could not be written, so the request was not run."},
	{CodeIdempotencyKeyExpired, "IdempotencyKeyExpired", http.StatusBadRequest, "The time in the Idempotency-Key is older than claims are kept."},
	{CodeIdempotencyKeyInvalid, "IdempotencyKeyInvalid", http.StatusBadRequest, "The Idempotency-Key is empty, too long or not printable."},
	{CodeNoConfiguration, "NoConfiguration", http.StatusServiceUnavailable, "The daemon has no configuration yet, or an older one than the daemon that passed the request on."},
	{CodeStoreUnavailable, "StoreUnavailable", http.StatusServiceUnavailable, "The key-value service does not answer."},
	{CodeVersionConflict, "VersionConflict", http.StatusConflict, "Another operator's change came first; the detail names its version."},
	{CodeInvalidSettings, "InvalidSettings", http.StatusBadRequest, "A setting has a value that is not accepted."},
	{CodeConfigurationUnproved, "ConfigurationUnproved", http.StatusServiceUnavailable, "By the configuration that the daemon knows the request would be refused for good, but the daemon can't tell whether that is still in force."},
}

// Codes returns all codes, in the order of the table in docs/RESULT-CODES.md.
func Codes() []Code {
	codes := make([]Code, 0, len(descriptions))
	for _, d := range descriptions {
		codes = append(codes, d.code)
	}
	return codes
}

// Description returns a one-sentence description of the code.
func (c Code) Description() string { return c.describe().text }

// HTTPStatus returns the HTTP status of a refusal with the code.
func (c Code) HTTPStatus() int { return c.describe().status }

// String returns the code's name.
func (c Code) String() string { return c.describe().name }

func (c Code) describe() description {
	for _, d := range descriptions {
		if d.code == c {
			return d
		}
	}
	return description{code: c, name: "Unknown", status: http.StatusInternalServerError, text: "The code is not known to this version."}
}
