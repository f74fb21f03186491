package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// errFrameTooLarge is returned for a message that is not written because it exceeds maxFrameBytes.
var errFrameTooLarge = errors.New("frame too large")

// codec prefixes each message with its length as a varint and counts messages
// and bytes.
//
// The library calls the send hook right before a write under the same lock, and
// the receive hook right after a read in the same goroutine. One field for each
// direction is therefore enough to attribute a frame's size to its method.
type codec struct {
	meter *Meter
	limit atomic.Int64
	// received counts the frames that have been read, which shows whether the remote end is alive.
	received atomic.Uint64

	sendMethod string
	readBytes  int

	mutex           sync.Mutex
	pendingMethods  map[jsonrpc2.ID]string // methods of received requests without a response yet
	startedRequests map[jsonrpc2.ID]bool   // sent requests whose write has started
}

var _ jsonrpc2.ObjectCodec = (*codec)(nil)

func newCodec(meter *Meter, limit int) *codec {
	codec := &codec{meter: meter, pendingMethods: map[jsonrpc2.ID]string{}, startedRequests: map[jsonrpc2.ID]bool{}}
	codec.limit.Store(int64(limit))
	return codec
}

// WriteObject writes one frame.
func (codec *codec) WriteObject(stream io.Writer, object any) error {
	frame, err := encodeFrame(object)
	if err != nil {
		return err
	}
	if len(frame) > maxFrameBytes {
		return fmt.Errorf("%w: %d bytes, limit %d", errFrameTooLarge, len(frame), maxFrameBytes)
	}
	codec.meter.add(codec.sendMethod, Sent, len(frame))
	_, err = stream.Write(frame)
	return err
}

// ReadObject reads one frame; it rejects a length over the limit before it reads the content.
func (codec *codec) ReadObject(stream *bufio.Reader, object any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if limit := codec.limit.Load(); length > uint64(limit) {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d", length, limit)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(stream, content); err != nil {
		return err
	}
	codec.received.Add(1)
	codec.readBytes = len(content) + len(binary.AppendUvarint(nil, length))
	return json.Unmarshal(content, object)
}

func (codec *codec) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	codec.mutex.Lock()
	defer codec.mutex.Unlock()
	if request != nil {
		codec.sendMethod = request.Method
		if request.Notif {
			return
		}
		codec.startedRequests[request.ID] = true
		return
	}
	codec.sendMethod = codec.pendingMethods[response.ID]
	delete(codec.pendingMethods, response.ID)
}

func (codec *codec) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	kind := "unknown"
	if request != nil {
		kind = request.Method
	}
	codec.meter.add(kind, Received, codec.readBytes)
	if response == nil && !request.Notif {
		codec.mutex.Lock()
		codec.pendingMethods[request.ID] = request.Method
		codec.mutex.Unlock()
	}
}

// finish reports whether the write of the request has started, and removes the request.
func (codec *codec) finish(id jsonrpc2.ID) bool {
	codec.mutex.Lock()
	defer codec.mutex.Unlock()
	writeStarted := codec.startedRequests[id]
	delete(codec.startedRequests, id)
	return writeStarted
}

func encodeFrame(object any) ([]byte, error) {
	content, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(content)+binary.MaxVarintLen32), uint64(len(content)))
	return append(frame, content...), nil
}
