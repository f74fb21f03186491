package messenger

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"carobthread"
)

// codeRequestFailed is the code of all error responses; their data holds the state and the reason.
const codeRequestFailed = 1

// envelope is the params member of every request except the hello.
type envelope struct {
	// RemainingMicros is the time until the deadline in microseconds; it is relative because the clocks of two hosts may
	// differ by minutes.
	RemainingMicros int64           `json:"left-us"`
	TraceParent     string          `json:"trace-parent,omitempty"`
	Body            json.RawMessage `json:"body,omitempty"`
}

// failureData is the data member of an error response.
type failureData struct {
	State            carobthread.RunState `json:"state"`
	Reason           carobthread.Reason   `json:"reason"`
	Service          string               `json:"service,omitempty"`
	Detail           string               `json:"detail,omitempty"`
	RetryAfterMicros int64                `json:"retry-after-us,omitempty"`
}

// EncodeRequest returns the frame that a link writes for a request with the given time until its deadline.
func EncodeRequest(id uint64, method string, remaining time.Duration, params any) ([]byte, error) {
	body, err := json.Marshal(params)
	if err != nil {
		return nil, err
	}
	request := &jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: id}}
	if err := request.SetParams(envelope{RemainingMicros: remaining.Microseconds(), Body: body}); err != nil {
		return nil, err
	}
	return encodeFrame(request)
}

// EncodeReply returns the frame that a link writes for a successful response.
func EncodeReply(id uint64, result any) ([]byte, error) {
	response := &jsonrpc2.Response{ID: jsonrpc2.ID{Num: id}}
	if err := response.SetResult(result); err != nil {
		return nil, err
	}
	return encodeFrame(response)
}

// DecodeRequest returns the method and the body of a request frame.
func DecodeRequest(frame []byte) (method string, body json.RawMessage, err error) {
	content, err := frameContent(frame)
	if err != nil {
		return "", nil, err
	}
	var request jsonrpc2.Request
	if err := json.Unmarshal(content, &request); err != nil {
		return "", nil, err
	}
	if request.Params == nil {
		return request.Method, nil, nil
	}
	var wrapped envelope
	if err := json.Unmarshal(*request.Params, &wrapped); err != nil {
		return "", nil, err
	}
	return request.Method, wrapped.Body, nil
}

// DecodeReply returns the result in the frame of a successful response.
func DecodeReply(frame []byte) (json.RawMessage, error) {
	content, err := frameContent(frame)
	if err != nil {
		return nil, err
	}
	var response jsonrpc2.Response
	if err := json.Unmarshal(content, &response); err != nil {
		return nil, err
	}
	if response.Result == nil {
		return nil, errors.New("response without a result")
	}
	return *response.Result, nil
}

func frameContent(frame []byte) ([]byte, error) {
	length, prefix := binary.Uvarint(frame)
	if prefix <= 0 || length > maxFrameBytes || length != uint64(len(frame)-prefix) {
		return nil, errors.New("frame length does not match its length prefix")
	}
	return frame[prefix:], nil
}

func notRunError(reason carobthread.Reason, detail string) *carobthread.RequestError {
	return &carobthread.RequestError{State: carobthread.NotRun, Reason: reason, Detail: detail}
}

// encodeFailure maps a handler's error to a response; for an error without a state, the request may have run.
func encodeFailure(err error) *jsonrpc2.Error {
	failure := &carobthread.RequestError{State: carobthread.MayHaveRun, Reason: carobthread.ReasonUpstreamFailed, Detail: err.Error()}
	_ = errors.As(err, &failure)
	response := &jsonrpc2.Error{Code: codeRequestFailed, Message: string(failure.Reason)}
	response.SetError(failureData{
		State: failure.State, Reason: failure.Reason, Service: failure.Service, Detail: failure.Detail,
		RetryAfterMicros: failure.RetryAfter.Microseconds(),
	})
	return response
}

func decodeFailure(response *jsonrpc2.Error) *carobthread.RequestError {
	var data failureData
	if response.Data == nil || json.Unmarshal(*response.Data, &data) != nil || data.State == "" {
		return &carobthread.RequestError{
			State: carobthread.MayHaveRun, Reason: carobthread.ReasonUpstreamFailed, Detail: response.Message,
		}
	}
	return &carobthread.RequestError{
		State: data.State, Reason: data.Reason, Service: data.Service, Detail: data.Detail,
		RetryAfter: time.Duration(data.RetryAfterMicros) * time.Microsecond,
	}
}
