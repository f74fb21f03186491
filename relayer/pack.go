package relayer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// maxUnpackedSize limits the decompressed size of one message. A fetched bucket
// above maxFetchSize and a value of 1 MB fit into it.
const maxUnpackedSize = 8 << 20

// Pack encodes objects, each prefixed with its length, and compresses them, since
// the objects of a state repeat most of their text. Hosts that forward a push
// send the packed bytes unchanged.
func Pack(objects [][]byte) []byte {
	if len(objects) == 0 {
		return nil
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		panic(err) // only for an invalid compression level
	}
	for _, object := range objects {
		// Writes to a buffer do not fail.
		_, _ = writer.Write(binary.AppendUvarint(nil, uint64(len(object))))
		_, _ = writer.Write(object)
	}
	_ = writer.Close()
	return packed.Bytes()
}

// unpack decodes the output of Pack; it returns an error for malformed or oversized input.
func unpack(packed []byte) ([][]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	reader := flate.NewReader(bytes.NewReader(packed))
	content, err := io.ReadAll(io.LimitReader(reader, maxUnpackedSize+1))
	if err != nil {
		return nil, fmt.Errorf("unpack objects: %w", err)
	}
	if len(content) > maxUnpackedSize {
		return nil, fmt.Errorf("unpack objects: more than %d bytes", maxUnpackedSize)
	}
	var objects [][]byte
	for len(content) > 0 {
		length, prefix := binary.Uvarint(content)
		if prefix <= 0 || length > uint64(len(content)-prefix) {
			return nil, errors.New("unpack objects: malformed length")
		}
		end := prefix + int(length)
		objects = append(objects, content[prefix:end:end])
		content = content[end:]
	}
	return objects, nil
}
