package relayer

import (
	"net/http"
	"time"

	"papayapaddle/internal/cataloger"
)

// RequestInfo holds the metadata in a caller's request headers.
type RequestInfo struct {
	ID string
	// APIKey is the API key.
	APIKey string
	// CallerTimeout is the caller's timeout, or 0 if it is not given.
	CallerTimeout time.Duration
	Model         string
	// PromptTokens, MaxAnswerTokens and AnswerLengthHint are 0 if unknown. MaxAnswerTokens is the
	// maximum length of the response in tokens, and AnswerLengthHint is a rough estimate of it.
	PromptTokens     int
	MaxAnswerTokens  int
	AnswerLengthHint int
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// LastEventID is the ID of the last event that the caller received of a stream it resumes.
	LastEventID string
	// InvalidHeaders lists the headers whose counts could not be parsed.
	InvalidHeaders []string
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// ForwardInfo holds the metadata that the router sends to a server with a request.
type ForwardInfo struct {
	Server    string
	Workspace string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Resumable is true if the caller may resume the stream. LastEventID is set if the router
	// resumes it.
	Resumable   bool
	LastEventID string
}

// ResponseInfo holds the metadata in a server's response headers.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to, empty if not given.
	RequestID string
	// Signed is true if the headers show that the server itself produced the response.
	Signed bool
	// Instance is the ID that the server states of itself, empty if not given.
	Instance string
	// Leaving is true if the server states that it is shutting down.
	Leaving bool
	// Pause is how long the server wants no requests, or 0. InvalidPause is the value of one that cannot
	// be read.
	Pause        time.Duration
	InvalidPause string
	// Limit is the rate, in requests a second, that the server takes from all routers together, if
	// LimitNamed. InvalidLimit is the value of one that cannot be read.
	Limit        float64
	LimitNamed   bool
	InvalidLimit string
	// ColdRemaining is how much longer the server states that it stays cold, or 0. InvalidCold is the value of a
	// statement that cannot be read.
	ColdRemaining time.Duration
	InvalidCold   string
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
}

// Codec converts between headers and metadata.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(http.Header) (RequestInfo, error)
	// EncodeRequest returns the caller's headers as they are sent to a server.
	EncodeRequest(http.Header, ForwardInfo) http.Header
	// DecodeResponse decodes the headers of a server's response.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the server's headers as they are forwarded to the caller.
	ResponseHeader(http.Header) http.Header
	// EncodeRefusal sets the headers of a response that the router itself generates, whether
	// it is a refusal or another error.
	EncodeRefusal(h http.Header, id string, retryAfter time.Duration)
}

// Call is a request that is to be assigned to a server.
type Call struct {
	RequestInfo
	Route     *cataloger.Route
	Service   *cataloger.Service
	Workspace string
	Arrived   time.Time
	Deadline  time.Time
	// ExcludedServers lists the IDs of the servers that were already tried.
	ExcludedServers []string
	// Resumed is true if this router already forwarded part of the stream.
	Resumed bool
	// Standby is true if the call is for a second attempt beside one whose server is silent, which needs a
	// server that can start it now.
	Standby bool
	// Hedge is true if the second attempt is a hedge, so that the server of the first one does not count as silent.
	Hedge bool
}

// Assignment permits one attempt of a call on a server.
type Assignment struct {
	Server *cataloger.Server
	// MaySend reports whether the assignment may still be used, just before the request is written. If nil, it may.
	MaySend func() bool
	// ReportFirstEvent must be called at the first event of a stream.
	// It must be called again at the first event after ReportSilence.
	ReportFirstEvent func()
	// ReportSilence must be called when the server has sent no event for the event timeout, once per silence.
	ReportSilence func()
	// Release must be called exactly once, when the attempt has ended.
	Release func(result AttemptResult)
}

// AttemptResult describes how an attempt on a server ended.
type AttemptResult struct {
	// Failed is true if the server failed, unless that was reported as its silence.
	Failed bool
	// Inconclusive is true if the attempt shows nothing of the server, as it was not sent, or ended because another one
	// went on.
	Inconclusive bool
	// Refused is true if the server received the request and did not run it.
	Refused bool
	// Complete is true if this attempt received a streamed response from its beginning to its
	// end.
	Complete bool
	// Duration is the time from the assignment to the end of the attempt.
	Duration time.Duration
}

// Refusal says why a call was assigned no server.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// LogFields are alternating keys and values for the request's log line.
	LogFields []any
}

// Config is the router's configuration and its age.
type Config struct {
	Catalog *cataloger.Catalog
	// Age is the time since the catalog was last known to be the latest version.
	Age time.Duration
	// AgeKnown is false if the catalog was never known to be the latest version.
	AgeKnown bool
}
