package forwarder

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"carobthread"
	"carobthread/caller"
	"carobthread/planner"
	"carobthread/router"
	"carobthread/server"
)

const (
	// startRetry is when a caller may come again while no routing table is known.
	startRetry = 200 * time.Millisecond
	// minRetry bounds Retry-After from below, since an immediate retry meets the same state.
	minRetry = 20 * time.Millisecond
	// wayBack is how long before a caller's deadline its answer goes out at the latest, and wayBackShare bounds it for
	// short deadlines: an answer that leaves at the deadline comes too late.
	wayBack      = 15 * time.Millisecond
	wayBackShare = 0.05
)

// Asker is the query path.
type Asker interface {
	// Ask returns how the query ended, or the error of a context that ended first.
	Ask(ctx context.Context, query server.Query) (server.Outcome, error)
}

// Options are the parts that a Forwarder works with.
type Options struct {
	Headers carobthread.HeaderNames
	Asker   Asker
	Timer   carobthread.Timer
	// Ended is called with each request that has been answered or given up.
	Ended func(record *Record)
}

// Record tells how one request went.
type Record struct {
	ID      string
	Route   string
	Service string
	Version uint64
	Status  int
	Reason  carobthread.Reason
	Arrived carobthread.Instant
	Took    time.Duration
	// TimeLeft is the time from the arrival within which the answer must go out.
	TimeLeft time.Duration
	Target   time.Duration
	// Once says that the request may run at most once.
	Once    bool
	Answer  *carobthread.AnswerQuery
	Refusal *carobthread.RefuseQuery
	// Steps are the decisions on the request's attempts in their order.
	Steps []server.Step
	// RetryAfter is what the caller was told, or 0.
	RetryAfter time.Duration
	// CallerGone says that the caller closed its connection before the answer.
	CallerGone bool
}

// Forwarder is an http.Handler for callers; it is safe for concurrent use.
type Forwarder struct {
	options  Options
	router   atomic.Pointer[router.Router]
	stopping atomic.Bool
	// diverting makes every answer close its connection while callers are better served elsewhere.
	diverting atomic.Bool
}

var _ http.Handler = (*Forwarder)(nil)

// New returns a forwarder that refuses all requests until it gets a router.
func New(options Options) *Forwarder { return &Forwarder{options: options} }

// Route puts a version of the routing table in force.
func (forwarder *Forwarder) Route(router *router.Router) { forwarder.router.Store(router) }

// Stop makes every answer close its connection.
func (forwarder *Forwarder) Stop() { forwarder.stopping.Store(true) }

// Divert states whether callers are better served by other hosts, so that their connections should end with an answer.
func (forwarder *Forwarder) Divert(elsewhere bool) { forwarder.diverting.Store(elsewhere) }

// ServeHTTP answers one request.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	record := &Record{ID: request.Header.Get(forwarder.options.Headers.RequestID), Arrived: forwarder.options.Timer.Now()}
	forwarder.serve(writer, request, record)
	record.Took = forwarder.options.Timer.Now().Sub(record.Arrived)
	if forwarder.options.Ended != nil {
		forwarder.options.Ended(record)
	}
}

func (forwarder *Forwarder) serve(writer http.ResponseWriter, request *http.Request, record *Record) {
	if forwarder.stopping.Load() || forwarder.diverting.Load() {
		writer.Header().Set("Connection", "close")
	}
	routes := forwarder.router.Load()
	if routes == nil {
		forwarder.refuse(writer, record, carobthread.ReasonNotReady, startRetry)
		return
	}
	record.Version = routes.Version()
	choice, found := routes.Choose(request.Host, request.RequestURI)
	if !found {
		forwarder.fail(writer, record, http.StatusNotFound, carobthread.ReasonUnknownService)
		return
	}
	record.Route = choice.Route.Name
	record.Target = choice.Route.Target
	body, status := readBody(writer, request, routes.Limits().BodyBytes)
	if status != 0 {
		forwarder.fail(writer, record, status, carobthread.ReasonTooLarge)
		return
	}
	query := forwarder.query(request, body, &choice, record)
	end, err := forwarder.options.Asker.Ask(request.Context(), query)
	record.Steps = end.Steps
	if err != nil {
		record.CallerGone = true
		return
	}
	forwarder.answer(writer, &choice, end, record)
}

// readBody returns the whole body, or the status of the refusal.
func readBody(writer http.ResponseWriter, request *http.Request, limit int64) ([]byte, int) {
	if limit > 0 && request.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	source := request.Body
	if limit > 0 {
		source = http.MaxBytesReader(writer, request.Body, limit)
	}
	body, err := io.ReadAll(source)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, 0
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	default:
		return nil, http.StatusBadRequest
	}
}

// query builds the query of a request; its deadline is the caller's or the route's, whichever comes first.
func (forwarder *Forwarder) query(request *http.Request, body []byte, choice *router.Choice, record *Record) server.Query {
	names := &forwarder.options.Headers
	header := caller.EndToEndHeader(request.Header)
	for _, own := range []string{names.ExpectInstance, names.TimeLeft, "Content-Length"} {
		header.Del(own)
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
		},
		Once: !choice.Route.Idempotent,
	}
	record.Once = query.Once
	record.TimeLeft = choice.Route.Timeout
	if left, err := strconv.ParseInt(request.Header.Get(names.TimeLeft), 10, 64); err == nil && left >= 0 {
		record.TimeLeft = min(record.TimeLeft, untilAnswer(time.Duration(left)*time.Millisecond))
	}
	query.Deadline = record.Arrived.Add(record.TimeLeft)
	return query
}

// untilAnswer returns within which time an answer must go out to a caller that waits for so long.
func untilAnswer(waits time.Duration) time.Duration {
	return waits - min(wayBack, time.Duration(wayBackShare*float64(waits)))
}

func (forwarder *Forwarder) answer(writer http.ResponseWriter, choice *router.Choice, end server.Outcome, record *Record) {
	if end.Refusal != nil {
		record.Refusal = end.Refusal
		if end.Refusal.Reason == carobthread.ReasonCutOff {
			writer.Header().Set("Connection", "close") // the next connection may lead to a host that can serve
		}
		forwarder.refuse(writer, record, end.Refusal.Reason, time.Duration(end.Refusal.RetryAfterMicros)*time.Microsecond)
		return
	}
	record.Answer = end.Answer
	switch {
	case end.Answer.Failed && end.Answer.NotRun:
		forwarder.refuse(writer, record, firstReason(end.Answer), time.Duration(end.Answer.RetryAfterMicros)*time.Microsecond)
	case end.Answer.Failed && len(choice.Route.Shards) == 0 && end.Rejected != nil:
		forwarder.writeReply(writer, record, end.Rejected.HTTP)
	case end.Answer.Failed:
		status := http.StatusBadGateway
		if record.Arrived.Add(record.TimeLeft) <= forwarder.options.Timer.Now() {
			status = http.StatusGatewayTimeout
		}
		forwarder.fail(writer, record, status, firstReason(end.Answer))
	case len(choice.Route.Shards) > 0:
		forwarder.writeRecords(writer, record, choice.Route, end)
	default:
		forwarder.writeReply(writer, record, end.Replies[0].HTTP)
	}
}

func firstReason(answer *carobthread.AnswerQuery) carobthread.Reason {
	if len(answer.Coverage.Missing) == 0 {
		return carobthread.ReasonTimeout
	}
	return answer.Coverage.Missing[0].Reason
}

// writeReply passes a searcher's reply on as it came.
func (forwarder *Forwarder) writeReply(writer http.ResponseWriter, record *Record, reply *carobthread.HTTPReply) {
	header := writer.Header()
	maps.Copy(header, caller.EndToEndHeader(reply.Header))
	header.Del(forwarder.options.Headers.Load)
	forwarder.write(writer, record, reply.Status, reply.Body)
}

// writeRecords writes the greatest records of the merged replies with their seals.
func (forwarder *Forwarder) writeRecords(writer http.ResponseWriter, record *Record, route *carobthread.Route, end server.Outcome) {
	names := &forwarder.options.Headers
	seals := make([]string, len(end.Replies))
	bodies := make([][]byte, len(end.Replies))
	for i, reply := range end.Replies {
		seals[i], bodies[i] = reply.HTTP.Seal, reply.HTTP.Body
	}
	coverage := &end.Answer.Coverage
	writer.Header().Set(names.Seals, strings.Join(seals, ", "))
	writer.Header().Set(names.MissingShards, strconv.Itoa(int(coverage.Total-coverage.Answered)))
	writer.Header().Set(names.RequestID, record.ID)
	forwarder.write(writer, record, http.StatusOK, greatest(bodies, route.TopRecords))
}

// refuse answers a request that has not run and will not run.
func (forwarder *Forwarder) refuse(writer http.ResponseWriter, record *Record, reason carobthread.Reason, after time.Duration) {
	record.RetryAfter = max(after, minRetry)
	writer.Header().Set("Retry-After", strconv.FormatFloat(record.RetryAfter.Seconds(), 'f', 3, 64))
	forwarder.fail(writer, record, http.StatusServiceUnavailable, reason)
}

// fail answers with an error of our own.
func (forwarder *Forwarder) fail(writer http.ResponseWriter, record *Record, status int, reason carobthread.Reason) {
	record.Reason = reason
	forwarder.write(writer, record, status, []byte(string(reason)+"\n"))
}

func (forwarder *Forwarder) write(writer http.ResponseWriter, record *Record, status int, body []byte) {
	record.Status = status
	header := writer.Header()
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	if _, err := writer.Write(body); err != nil {
		record.CallerGone = true
	}
}

// recordBytes is the length of one record of a reply.
const recordBytes = 16

// greatest returns the greatest records of all bodies, greatest first; a remainder shorter than a record is none.
func greatest(bodies [][]byte, count int) []byte {
	var records [][recordBytes]byte
	for _, body := range bodies {
		for ; len(body) >= recordBytes; body = body[recordBytes:] {
			records = append(records, [recordBytes]byte(body))
		}
	}
	slices.SortFunc(records, func(left, right [recordBytes]byte) int { return slices.Compare(right[:], left[:]) })
	merged := make([]byte, 0, count*recordBytes)
	for _, record := range records[:min(count, len(records))] {
		merged = append(merged, record[:]...)
	}
	return merged
}
