package server

import (
	"context"
	"encoding/json"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"carobthread"
	"carobthread/executor"
)

// Peer methods for keyed requests.
const (
	MethodExecute = "key.execute"
	MethodOutcome = "key.outcome"
)

// peerCall is the request of both peer methods; MethodOutcome sets only the key and the deadline.
type peerCall struct {
	Key            string `json:"key"`
	Service        string `json:"service,omitempty"`
	Payload        []byte `json:"payload,omitempty"`
	DeadlineMicros int64  `json:"deadline-us,omitempty"`
}

// Handle serves the keyed requests that other hosts forward; the result is an executor.Outcome.
func (execution *Execution) Handle(ctx context.Context, _, method string, params json.RawMessage) (any, error) {
	var call peerCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonMalformedKey, Detail: err.Error()}
	}
	ctx, span := execution.options.Tracer.Start(ctx, method)
	defer span.End()
	switch method {
	case MethodExecute:
		return execution.execute(ctx, &executor.ExecuteCalled{
			Key: call.Key, Service: call.Service, Payload: call.Payload, Deadline: deadlineOf(call.DeadlineMicros), Forwarded: true,
		}), nil
	case MethodOutcome:
		return execution.outcome(ctx, &executor.OutcomeCalled{Key: call.Key, Deadline: deadlineOf(call.DeadlineMicros), Forwarded: true}), nil
	default:
		return nil, &carobthread.RequestError{State: carobthread.NotRun, Reason: carobthread.ReasonUnknownService, Detail: "unknown method " + method}
	}
}

// forwardLocked forwards a call to the host that minted the key; the failure of this call says nothing about the outcome.
func (execution *Execution) forwardLocked(now carobthread.Instant, forward *executor.ForwardCall) {
	method, call, deadline := MethodOutcome, peerCall{}, carobthread.Instant(0)
	if execute := forward.Execute; execute != nil {
		method, deadline = MethodExecute, execute.Deadline
		call = peerCall{Key: execute.Key, Service: execute.Service, Payload: execute.Payload, DeadlineMicros: execute.Deadline.Micros()}
	} else {
		deadline = forward.Outcome.Deadline
		call = peerCall{Key: forward.Outcome.Key, DeadlineMicros: deadline.Micros()}
	}
	timeout := executor.FallbackTimeout
	if deadline != 0 {
		timeout = deadline.Sub(now)
	}
	failed := executor.Event{Forward: &executor.ForwardEnded{Call: forward.Call, Failed: true}}
	execution.startWorkLocked(call.Key, timeout, failed, func(ctx context.Context) executor.Event {
		ctx, span := execution.options.Tracer.Start(ctx, "forward", trace.WithAttributes(attribute.String("peer", forward.Host)))
		defer span.End()
		ended := &executor.ForwardEnded{Call: forward.Call}
		err := execution.options.Peers.Call(ctx, forward.Host, method, call, &ended.Outcome)
		ended.Failed = err != nil || ended.Outcome.Key != call.Key
		return executor.Event{Forward: ended}
	})
}
