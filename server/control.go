package server

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"carobthread"
	"carobthread/applier"
	"carobthread/recoverer"
	"carobthread/relayer"
	"carobthread/tracker"
)

// watchSlack allows the platform's reply that a watched key is unchanged to arrive after the watch has ended.
const watchSlack = 5 * time.Second

// ControlOptions are the dependencies of a Control.
type ControlOptions struct {
	Self     carobthread.Host
	Relayer  *relayer.Relayer
	State    *applier.Applier
	Timer    carobthread.Timer
	Peers    carobthread.Peers
	Platform carobthread.Platform
	Logger   zerolog.Logger
	// OnConfig is called when a configuration becomes active and when the set of leaving searchers changes.
	OnConfig func(config carobthread.Config)
	// OnView is called with each new view of the entry hosts.
	OnView func(view carobthread.View)
	// OnSuperseded is called when a later incarnation of this host is known.
	OnSuperseded func()
}

// Control runs the propagation core: it performs the core's actions and serves the core's peer methods.
type Control struct {
	options ControlOptions
	ctx     context.Context
	cancel  context.CancelFunc
	calls   sync.WaitGroup

	mutex          sync.Mutex
	searcherStates []tracker.SearcherMark
}

var (
	_ carobthread.PeerHandler = (*Control)(nil)
	_ carobthread.Subscriber  = (*Control)(nil)
)

// NewControl returns a Control whose core starts at the first tick.
func NewControl(options ControlOptions) *Control {
	ctx, cancel := context.WithCancel(context.Background())
	return &Control{options: options, ctx: ctx, cancel: cancel}
}

// Tick passes time to the core.
func (control *Control) Tick(_ carobthread.Instant, late time.Duration) {
	if late >= tracker.PauseThreshold {
		control.options.Logger.Warn().Dur("late", late).Msg("pause detected")
	}
	control.step(relayer.Event{Tick: &carobthread.TickArrived{LateMicros: late.Microseconds()}})
}

// RecordSearcherState records that a searcher is leaving or back in service and tells the other hosts.
func (control *Control) RecordSearcherState(searcher string, leaving bool) {
	control.step(relayer.Event{Searcher: &tracker.SearcherStateObserved{Searcher: searcher, Leaving: leaving}})
}

// Leave tells the other hosts that this host accepts no new work.
func (control *Control) Leave() { control.step(relayer.Event{Stop: &tracker.SelfStopping{}}) }

// Close cancels the calls in progress and waits for them to return.
func (control *Control) Close() {
	control.cancel()
	control.calls.Wait()
}

// Handle serves one request of a peer.
func (control *Control) Handle(_ context.Context, peer, method string, params json.RawMessage) (any, error) {
	response := control.step(relayer.Event{Request: &relayer.PeerRequest{From: peer, Method: method, Body: params}})
	if response == nil {
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonNotReady, Detail: method}
	}
	if response.Failure != nil {
		return nil, response.Failure
	}
	return response.Result, nil
}

// step passes one event to the core and performs the resulting actions. It holds the mutex, so the callbacks of
// ControlOptions must not call back into Control.
func (control *Control) step(event relayer.Event) *relayer.Respond {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	event.At = control.options.Timer.Now()
	var response *relayer.Respond
	for _, action := range control.options.Relayer.Step(event) {
		if action.Respond != nil {
			response = action.Respond
			continue
		}
		control.perform(event.At, action)
	}
	return response
}

func (control *Control) perform(now carobthread.Instant, action relayer.Action) {
	logger := &control.options.Logger
	switch {
	case action.Call != nil:
		control.start(now, action.Call.Deadline, func(ctx context.Context) relayer.Event { return control.call(ctx, action.Call) })
	case action.Read != nil:
		control.start(now, action.Read.Deadline, func(ctx context.Context) relayer.Event {
			value, err := control.options.Platform.Read(ctx, action.Read.Key)
			return platformEvent(action.Read.Call, value, err)
		})
	case action.Watch != nil:
		control.start(now, action.Watch.Deadline.Add(watchSlack), func(ctx context.Context) relayer.Event {
			value, err := control.options.Platform.Watch(ctx, action.Watch.Key, action.Watch.Revision)
			return platformEvent(action.Watch.Call, value, err)
		})
	case action.View != nil:
		control.options.OnView(*action.View)
	case action.Marks != nil:
		control.searcherStates = action.Marks.Marks
		control.configure()
	case action.Config != nil:
		logger.Info().Int("objects", len(action.Config.Entries)).Str("source", action.Config.Source).Msg("configuration active")
		control.configure()
	case action.Stop != nil:
		logger.Error().Msg("a later incarnation of this host is running")
		control.options.OnSuperseded()
	default:
		control.report(action)
	}
}

// report logs content that was not applied.
func (control *Control) report(action relayer.Action) {
	logger := &control.options.Logger
	switch {
	case action.Refused != nil:
		logger.Warn().Interface("refusal", action.Refused).Msg("ticket refused")
	case action.Conflict != nil:
		logger.Warn().Interface("conflict", action.Conflict).Msg("ticket number was published with two different contents")
	case action.Finding != nil:
		logger.Warn().Str("source", action.Finding.Source).AnErr("cause", action.Finding.Cause).Msg("invalid content from the platform or a peer ignored")
	}
}

// configure passes on the active configuration, with the searchers that were seen leaving marked as such.
func (control *Control) configure() {
	config := control.options.State.Config()
	config.Searchers = slices.Clone(config.Searchers)
	leaving := make(map[string]bool, len(control.searcherStates))
	for _, state := range control.searcherStates {
		leaving[state.Searcher] = state.Leaving
	}
	for i := range config.Searchers {
		if leaving[config.Searchers[i].Name] {
			config.Searchers[i].Leaving = true
		}
	}
	if len(config.Services) > 0 {
		control.options.OnConfig(config)
	}
}

// start runs work in a goroutine until the deadline and then steps the core with the event that it returns.
func (control *Control) start(now, deadline carobthread.Instant, work func(ctx context.Context) relayer.Event) {
	control.calls.Add(1)
	go func() {
		defer control.calls.Done()
		ctx, cancel := context.WithTimeout(control.ctx, deadline.Sub(now))
		defer cancel()
		_ = recoverer.Run(&control.options.Logger, "control", func() {
			event := work(ctx)
			if control.ctx.Err() == nil {
				control.step(event)
			}
		})
	}()
}

func (control *Control) call(ctx context.Context, call *relayer.CallPeer) relayer.Event {
	var body json.RawMessage
	err := control.options.Peers.Call(ctx, call.Host, call.Method, call.Params, &body)
	if err == nil {
		return relayer.Event{Reply: &relayer.PeerReplied{Call: call.Call, Body: body}}
	}
	failed := &relayer.PeerFailed{Call: call.Call, Reason: carobthread.ReasonHostUnreachable}
	var failure *carobthread.RequestError
	if errors.As(err, &failure) {
		failed.Reason = failure.Reason
	}
	return relayer.Event{Failure: failed}
}

// platformEvent maps the result of a read or watch to an event; a watch that ends without a change has a value without
// content.
func platformEvent(call relayer.CallID, value carobthread.Value, err error) relayer.Event {
	if err == nil {
		return relayer.Event{Value: &relayer.PlatformReplied{Call: call, Value: value}}
	}
	var failure *carobthread.PlatformError
	missing := errors.As(err, &failure) && failure.Missing
	return relayer.Event{PlatformFailed: &relayer.PlatformFailed{Call: call, Missing: missing}}
}

// ControlStatus describes configuration and membership on one host for operators.
type ControlStatus struct {
	Propagation   relayer.Status         `json:"propagation"`
	Configuration applier.Status         `json:"configuration"`
	View          carobthread.View       `json:"view"`
	Marks         []tracker.SearcherMark `json:"marks"`
}

// Status returns the current status for operators.
func (control *Control) Status() ControlStatus {
	control.mutex.Lock()
	defer control.mutex.Unlock()
	return ControlStatus{
		Propagation:   control.options.Relayer.Status(),
		Configuration: control.options.State.Status(control.options.Timer.Now()),
		View:          control.options.Relayer.View(),
		Marks:         control.searcherStates,
	}
}
