package forwarder

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/accountant"
	"carobthread/caller"
	"carobthread/planner"
	"carobthread/recoverer"
	"carobthread/router"
	"carobthread/server"
)

const (
	// notReadyRetryAfter is the Retry-After of refusals while no routing table is loaded.
	notReadyRetryAfter = 200 * time.Millisecond
	// minRetryAfter is the minimum Retry-After, since an immediate retry would meet the same state.
	minRetryAfter = 20 * time.Millisecond
	// responseMargin is reserved before a caller's deadline for sending the response, since a response sent at the
	// deadline arrives too late. For short deadlines, it is limited to maxResponseMarginRatio of the caller's timeout.
	responseMargin         = 15 * time.Millisecond
	maxResponseMarginRatio = 0.05
	// memoryRetryAfter is the Retry-After of refusals for lack of memory; slow transfers are cut within seconds.
	memoryRetryAfter = 250 * time.Millisecond
	// refusedBodyTimeout bounds the time for which the rest of a refused request's body is read before its response is sent.
	refusedBodyTimeout = time.Second
	// answerPiece is the number of bytes of an answer that are written at a time, each of which counts as progress.
	answerPiece = 16 << 10
)

// QueryRunner runs queries; it is the query path behind a Forwarder.
type QueryRunner interface {
	// RunQuery runs the query and returns its outcome, or the error of the context if that ends first.
	RunQuery(ctx context.Context, query server.Query) (server.Outcome, error)
}

// Options are the dependencies of a Forwarder.
type Options struct {
	Headers     carobthread.HeaderNames
	QueryRunner QueryRunner
	Timer       carobthread.Timer
	// Logger receives unexpected errors; the zero value writes nothing.
	Logger zerolog.Logger
	// OnRequestEnd, if set, is called after each request, whether it was answered or abandoned.
	OnRequestEnd func(record *RequestRecord)
	// Accountant limits the memory held for callers; nil limits nothing.
	Accountant *accountant.Accountant
}

// RequestRecord describes one request and its result for logs and metrics.
type RequestRecord struct {
	ID      string
	Route   string
	Service string
	// Version is the version of the routing table that was used, or 0 without one.
	Version uint64
	Status  int
	Reason  carobthread.Reason
	Arrived carobthread.Instant
	Took    time.Duration
	// TimeLeft is the time from arrival within which the response must be sent.
	TimeLeft      time.Duration
	TargetLatency time.Duration
	// AtMostOnce is set if the request may run at most once.
	AtMostOnce bool
	Answer     *carobthread.AnswerQuery
	Refusal    *carobthread.RefuseQuery
	// AttemptEvents are the decisions on the request's attempts, in order.
	AttemptEvents []server.AttemptEvent
	// Delegations are the coordinators that the request was sent to, in order.
	Delegations []server.DelegationEvent
	// EntryHost is the host that delegated the request to this one, or empty.
	EntryHost string
	// RetryAfter is the value sent in the Retry-After header, or 0.
	RetryAfter time.Duration
	// CallerGone is set if the caller disconnected before the response was written.
	CallerGone bool
	// account holds the bytes of the request's body and of the replies that are kept until it is answered.
	account *accountant.Account
}

// Forwarder is an http.Handler for callers; it is safe for concurrent use.
type Forwarder struct {
	options  Options
	router   atomic.Pointer[router.Router]
	stopping atomic.Bool
	// diverting makes every response close its connection, so that callers reconnect to another host.
	diverting atomic.Bool
}

var _ http.Handler = (*Forwarder)(nil)

// New returns a forwarder that refuses all requests until SetRouter is called.
func New(options Options) *Forwarder { return &Forwarder{options: options} }

// SetRouter sets the router, which holds one version of the routing table, for later requests.
func (forwarder *Forwarder) SetRouter(router *router.Router) { forwarder.router.Store(router) }

// Router returns the router for new requests, or nil before SetRouter is called.
func (forwarder *Forwarder) Router() *router.Router { return forwarder.router.Load() }

// Stop makes every response close its connection.
func (forwarder *Forwarder) Stop() { forwarder.stopping.Store(true) }

// Divert sets whether other hosts can serve callers better. While it is set, every response closes its connection.
func (forwarder *Forwarder) Divert(diverting bool) { forwarder.diverting.Store(diverting) }

// ServeHTTP handles one request.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	record := &RequestRecord{ID: request.Header.Get(forwarder.options.Headers.RequestID), Arrived: forwarder.options.Timer.Now()}
	record.account = forwarder.options.Accountant.Open()
	defer record.account.Close()
	if err := recoverer.Run(&forwarder.options.Logger, "request", func() { forwarder.serve(writer, request, record) }); err != nil {
		if record.Status != 0 {
			panic(http.ErrAbortHandler) // a part of the answer may have been written, which must not look complete
		}
		// The request may have run.
		forwarder.fail(writer, record, http.StatusBadGateway, carobthread.ReasonInternal)
	}
	record.Took = forwarder.options.Timer.Now().Sub(record.Arrived)
	if forwarder.options.OnRequestEnd != nil {
		forwarder.options.OnRequestEnd(record)
	}
	if record.Status == 0 {
		panic(http.ErrAbortHandler) // else net/http sends an empty 200 to a caller that has closed its sending side only
	}
}

func (forwarder *Forwarder) serve(writer http.ResponseWriter, request *http.Request, record *RequestRecord) {
	routes := forwarder.router.Load()
	if routes == nil {
		forwarder.refuse(writer, record, carobthread.ReasonNotReady, notReadyRetryAfter)
		return
	}
	record.Version = routes.Version()
	choice, matched := routes.Choose(request.Host, request.RequestURI)
	if !matched {
		forwarder.fail(writer, record, http.StatusNotFound, carobthread.ReasonUnknownService)
		return
	}
	record.Route = choice.Route.Name
	record.TargetLatency = choice.Route.TargetLatency
	if !forwarder.options.Accountant.Admit(request.ContentLength != 0) {
		_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(refusedBodyTimeout)) // at worst, as without one
		forwarder.refuse(writer, record, carobthread.ReasonMemory, memoryRetryAfter)
		return
	}
	body, err := forwarder.readBody(writer, request, routes.Limits().BodyBytes, record)
	if err != nil {
		forwarder.failBody(writer, record, err)
		return
	}
	query := forwarder.query(request, body, &choice, record)
	outcome, err := forwarder.options.QueryRunner.RunQuery(request.Context(), query)
	record.AttemptEvents, record.Delegations = outcome.AttemptEvents, outcome.Delegations
	if err != nil {
		record.CallerGone = true
		return
	}
	forwarder.answer(writer, &choice, outcome, record)
}

// readBody returns the complete body, which the account of the request keeps.
func (forwarder *Forwarder) readBody(writer http.ResponseWriter, request *http.Request, limit int64, record *RequestRecord) ([]byte, error) {
	source := request.Body
	if limit > 0 {
		if request.ContentLength > limit {
			return nil, &http.MaxBytesError{Limit: limit}
		}
		source = http.MaxBytesReader(writer, request.Body, limit)
	} else {
		limit = math.MaxInt - 1
	}
	var transfer *accountant.Transfer
	if request.ContentLength != 0 {
		controller := http.NewResponseController(writer)
		transfer = forwarder.options.Accountant.Begin(carobthread.MemoryRequestBodies, accountant.FirstBlock, func() {
			_ = controller.SetReadDeadline(time.Unix(1, 0)) // fails only for connections that have ended
		})
	}
	defer transfer.End()
	body, err := accountant.ReadBody(source, request.ContentLength, int(limit), transfer)
	if err != nil {
		return nil, cmp.Or(transfer.Failure(), err)
	}
	transfer.Keep(record.account)
	return body, nil
}

// failBody responds to a request whose body could not be read; the request has not run.
func (forwarder *Forwarder) failBody(writer http.ResponseWriter, record *RequestRecord, err error) {
	var tooLarge *http.MaxBytesError
	var overBudget *accountant.BudgetError
	var cut *accountant.CutError
	switch {
	case errors.As(err, &tooLarge):
		forwarder.fail(writer, record, http.StatusRequestEntityTooLarge, carobthread.ReasonTooLarge)
	case errors.As(err, &overBudget):
		writer.Header().Set("Connection", "close") // the rest of the body is not read
		forwarder.refuse(writer, record, carobthread.ReasonMemory, memoryRetryAfter)
	case errors.As(err, &cut):
		writer.Header().Set("Connection", "close")
		forwarder.refuse(writer, record, carobthread.ReasonSlowCaller, memoryRetryAfter)
	default:
		forwarder.fail(writer, record, http.StatusBadRequest, carobthread.ReasonMalformed)
	}
}

// query builds the query for a request. Its deadline is the caller's or the route's, whichever is earlier.
func (forwarder *Forwarder) query(request *http.Request, body []byte, choice *router.Choice, record *RequestRecord) server.Query {
	names := &forwarder.options.Headers
	header := caller.EndToEndHeader(request.Header)
	for _, name := range []string{names.ExpectInstance, names.TimeLeft, "Content-Length"} {
		header.Del(name)
	}
	record.Service = planner.ServiceName(choice.Route.Name, choice.Group)
	query := server.Query{
		Request: &carobthread.Request{
			ID:      record.ID,
			Service: record.Service,
			Body:    body,
			HTTP: &carobthread.HTTPRequest{
				Method: request.Method, Target: request.RequestURI, Host: request.Host, Header: header,
			},
			Account: record.account,
		},
		AtMostOnce: !choice.Route.Idempotent,
		Version:    record.Version,
		TopK:       choice.Route.TopK,
	}
	record.AtMostOnce = query.AtMostOnce
	record.TimeLeft = choice.Route.Timeout
	if stated, valid := parseMillis(request.Header.Get(names.TimeLeft)); valid {
		record.TimeLeft = min(record.TimeLeft, responseTimeout(stated))
	}
	query.Deadline = record.Arrived.Add(record.TimeLeft)
	return query
}

// maxStatedMillis is a day in milliseconds; routes have shorter timeouts.
const maxStatedMillis = 86_400_000

// parseMillis parses a number of milliseconds, with or without a fraction, and returns at most a day.
func parseMillis(text string) (stated time.Duration, valid bool) {
	millis, err := strconv.ParseFloat(text, 64)
	if errors.Is(err, strconv.ErrRange) {
		err = nil // the result is infinite
	}
	if err != nil || !(millis >= 0) {
		return 0, false
	}
	return time.Duration(min(millis, maxStatedMillis) * float64(time.Millisecond)), true
}

// responseTimeout returns the time within which the response must be sent, given the time that the caller waits.
func responseTimeout(callerTimeout time.Duration) time.Duration {
	return callerTimeout - min(responseMargin, time.Duration(maxResponseMarginRatio*float64(callerTimeout)))
}

func (forwarder *Forwarder) answer(writer http.ResponseWriter, choice *router.Choice, outcome server.Outcome, record *RequestRecord) {
	if outcome.Refusal != nil {
		record.Refusal = outcome.Refusal
		if outcome.Refusal.Reason == carobthread.ReasonCutOff {
			writer.Header().Set("Connection", "close") // a new connection may reach a host that can serve the request
		}
		forwarder.refuse(writer, record, outcome.Refusal.Reason, time.Duration(outcome.Refusal.RetryAfterMicros)*time.Microsecond)
		return
	}
	record.Answer = outcome.Answer
	switch {
	case outcome.Answer.Failed && outcome.Answer.NotRun:
		forwarder.refuse(writer, record, firstMissingReason(outcome.Answer), time.Duration(outcome.Answer.RetryAfterMicros)*time.Microsecond)
	case outcome.Answer.Failed && len(choice.Route.Shards) == 0 && outcome.Rejected != nil && !promisesNotRun(outcome.Rejected.HTTP.Status):
		forwarder.writeReply(writer, record, outcome.Rejected.HTTP)
	case outcome.Answer.Failed:
		reason, status := firstMissingReason(outcome.Answer), http.StatusBadGateway
		if reason == carobthread.ReasonStopping || record.Arrived.Add(record.TimeLeft) <= forwarder.options.Timer.Now() {
			status = http.StatusGatewayTimeout
		}
		forwarder.fail(writer, record, status, reason)
	case len(choice.Route.Shards) > 0:
		forwarder.writeRecords(writer, record, choice.Route, outcome)
	default:
		forwarder.writeReply(writer, record, outcome.Replies[0].HTTP)
	}
}

// promisesNotRun reports whether callers take the status as the promise that the request has not run and never will. A failure
// that a searcher signs promises nothing, so it is not passed on with such a status.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func firstMissingReason(answer *carobthread.AnswerQuery) carobthread.Reason {
	if len(answer.Coverage.Missing) == 0 {
		return carobthread.ReasonTimeout
	}
	return answer.Coverage.Missing[0].Reason
}

// writeReply writes a searcher's reply unchanged, except for its load and hop-by-hop headers. A reply with an invalid status,
// which net/http would write or panic on, is none.
func (forwarder *Forwarder) writeReply(writer http.ResponseWriter, record *RequestRecord, reply *carobthread.HTTPReply) {
	if carobthread.CheckStatus(reply.Status) != nil {
		forwarder.fail(writer, record, http.StatusBadGateway, carobthread.ReasonUpstreamFailed)
		return
	}
	header := writer.Header()
	maps.Copy(header, caller.EndToEndHeader(reply.Header))
	header.Del(forwarder.options.Headers.Load)
	forwarder.write(writer, record, reply.Status, reply.Body)
}

// writeRecords writes the greatest records of the merged replies, with the signatures of the replies.
func (forwarder *Forwarder) writeRecords(writer http.ResponseWriter, record *RequestRecord, route *carobthread.Route, outcome server.Outcome) {
	names := &forwarder.options.Headers
	merged := outcome.Merged
	if merged == nil {
		merged = server.MergeRecords(outcome.Replies, route.TopK)
	}
	coverage := &outcome.Answer.Coverage
	writer.Header().Set(names.Signatures, merged.Signatures)
	writer.Header().Set(names.MissingShards, strconv.Itoa(int(coverage.Total-coverage.Answered)))
	writer.Header().Set(names.RequestID, record.ID)
	forwarder.write(writer, record, http.StatusOK, merged.Body)
}

// refuse responds with 503 and Retry-After to a request that has not run and will not run.
func (forwarder *Forwarder) refuse(writer http.ResponseWriter, record *RequestRecord, reason carobthread.Reason, retryAfter time.Duration) {
	record.RetryAfter = max(retryAfter, minRetryAfter)
	writer.Header().Set("Retry-After", strconv.FormatFloat(record.RetryAfter.Seconds(), 'f', 3, 64))
	forwarder.fail(writer, record, http.StatusServiceUnavailable, reason)
}

// fail writes an error response of the entry host, with the reason as its body.
func (forwarder *Forwarder) fail(writer http.ResponseWriter, record *RequestRecord, status int, reason carobthread.Reason) {
	record.Reason = reason
	forwarder.write(writer, record, status, []byte(string(reason)+"\n"))
}

func (forwarder *Forwarder) write(writer http.ResponseWriter, record *RequestRecord, status int, body []byte) {
	record.Status = status
	header := writer.Header()
	if forwarder.stopping.Load() || forwarder.diverting.Load() {
		header.Set("Connection", "close")
	}
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil // prevents net/http from detecting one
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	record.account.Close() // what was kept for the request is not needed any more, or is the body
	writer.WriteHeader(status)
	if err := forwarder.writeBody(writer, body); err != nil {
		record.CallerGone = true
	}
}

// writeBody writes the body of an answer. With a memory limit, it returns once the operating system has the whole answer, and
// the connection of a caller that reads too slowly is cut off, which shows as an answer that is shorter than its length.
func (forwarder *Forwarder) writeBody(writer http.ResponseWriter, body []byte) error {
	controller := http.NewResponseController(writer)
	transfer := forwarder.options.Accountant.Begin(carobthread.MemoryAnswers, len(body), func() {
		_ = controller.SetWriteDeadline(time.Unix(1, 0)) // fails only for connections that have ended
	})
	if transfer == nil {
		_, err := writer.Write(body)
		return err
	}
	defer transfer.End()
	for piece := range slices.Chunk(body, answerPiece) {
		if _, err := writer.Write(piece); err != nil {
			return err
		}
		transfer.Progress(len(piece))
	}
	return controller.Flush()
}
