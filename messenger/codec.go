package messenger

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

// codec frames each message with its length as a varint and counts it.
//
// The library calls the send hook right before a write under one lock, and the
// receive hook right after a read in one goroutine, so one field for each
// direction is enough to give a frame's size to the kind that the hook names.
type codec struct {
	meter *Meter
	limit atomic.Int64

	sendKind  string
	readBytes int

	mutex    sync.Mutex
	received map[jsonrpc2.ID]string // methods of requests that still lack a response
	started  map[jsonrpc2.ID]bool   // own requests whose write has begun
}

var _ jsonrpc2.ObjectCodec = (*codec)(nil)

func newCodec(meter *Meter, limit int) *codec {
	codec := &codec{meter: meter, received: map[jsonrpc2.ID]string{}, started: map[jsonrpc2.ID]bool{}}
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
		return fmt.Errorf("frame of %d bytes is over the limit of %d", len(frame), maxFrameBytes)
	}
	codec.meter.add(codec.sendKind, Sent, len(frame))
	_, err = stream.Write(frame)
	return err
}

// ReadObject reads one frame and refuses a length over the limit before it reads the content.
func (codec *codec) ReadObject(stream *bufio.Reader, object any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if limit := codec.limit.Load(); length > uint64(limit) {
		return fmt.Errorf("frame of %d bytes is over the limit of %d", length, limit)
	}
	content := make([]byte, length)
	if _, err := io.ReadFull(stream, content); err != nil {
		return err
	}
	codec.readBytes = len(content) + len(binary.AppendUvarint(nil, length))
	return json.Unmarshal(content, object)
}

func (codec *codec) onSend(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	codec.mutex.Lock()
	defer codec.mutex.Unlock()
	if request != nil {
		codec.sendKind = request.Method
		codec.started[request.ID] = true
		return
	}
	codec.sendKind = codec.received[response.ID]
	delete(codec.received, response.ID)
}

func (codec *codec) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	kind := "unknown"
	if request != nil {
		kind = request.Method
	}
	codec.meter.add(kind, Received, codec.readBytes)
	if response == nil && !request.Notif {
		codec.mutex.Lock()
		codec.received[request.ID] = request.Method
		codec.mutex.Unlock()
	}
}

// finish reports whether the write of the request had begun and forgets it.
func (codec *codec) finish(id jsonrpc2.ID) bool {
	codec.mutex.Lock()
	defer codec.mutex.Unlock()
	begun := codec.started[id]
	delete(codec.started, id)
	return begun
}

func encodeFrame(object any) ([]byte, error) {
	content, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(content)+binary.MaxVarintLen32), uint64(len(content)))
	return append(frame, content...), nil
}
