package relayer

import (
	"net/http"
	"time"

	"papayapaddle/internal/cataloger"
)

// RequestInfo is what a caller's headers say of a request.
type RequestInfo struct {
	ID  string
	Key string
	// Patience is how long the caller will wait, 0 if it does not say.
	Patience time.Duration
	Model    string
	// PromptTokens, MaxAnswerTokens and LengthHint are 0 if unknown. The hint is
	// rough.
	PromptTokens    int
	MaxAnswerTokens int
	LengthHint      int
	Parts           []PromptPart
	// LastEvent is the last event that the caller has of a stream it resumes.
	LastEvent string
	// Unreadable names the headers whose counts could not be read.
	Unreadable []string
}

// PromptPart is one part of a prompt, in order.
type PromptPart struct {
	ID     string
	Tokens int
}

// ForwardInfo is what the router tells a server.
type ForwardInfo struct {
	Server    string
	Workspace string
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Resumable says that the caller may resume the stream itself; LastEvent is
	// set where the router does.
	Resumable bool
	LastEvent string
}

// ResponseInfo is what a server's headers say of its answer.
type ResponseInfo struct {
	// ID is the request that the answer belongs to, empty if it is not told.
	ID string
	// Signed says that the server vouches for the answer.
	Signed bool
	// NotRun says that the server did not run the request.
	NotRun bool
}

// Codec translates headers.
type Codec interface {
	DecodeRequest(http.Header) (RequestInfo, error)
	EncodeRequest(http.Header, ForwardInfo) http.Header
	DecodeAnswer(status int, h http.Header) ResponseInfo
	AnswerHeader(http.Header) http.Header
	EncodeRefusal(h http.Header, id string, retryAfter time.Duration)
}

// Call is a request that is to be placed on a server.
type Call struct {
	RequestInfo
	Route     *cataloger.Route
	Service   *cataloger.Service
	Workspace string
	Arrived   time.Time
	Deadline  time.Time
	// ExcludedServers names the servers that were tried already.
	ExcludedServers []string
	// Resumed says that this router passed on the beginning of the answer.
	Resumed bool
}

// Assignment is the right to run a call on a server.
type Assignment struct {
	Server *cataloger.Server
	// ReportFirstEvent must be called at the first event of a stream.
	ReportFirstEvent func()
	// Release must be called once.
	Release func(e AttemptResult)
}

// AttemptResult tells how a call on a server ended.
type AttemptResult struct {
	// Failed says that the server failed, Full that it refused for lack of room.
	Failed  bool
	Refused bool
	// Complete says that the answer came whole.
	Complete bool
	// Duration is the time until the whole answer.
	Duration time.Duration
}

// Refusal says why a call got no place.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	// LogFields are key=value pairs for the log.
	LogFields []any
}

// Config are what the router knows, with its age.
type Config struct {
	Catalog *cataloger.Catalog
	// Age is how long ago the catalog was provably the newest.
	Age      time.Duration
	AgeKnown bool
}
