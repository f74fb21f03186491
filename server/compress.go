package server

// Hosts send each other routing tables and long lists of entries compressed: one host sends a new version to all others of
// its data centre, and with 100 of them the uncompressed text saturates its link for seconds.

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"carobthread"
)

const (
	// minCompressItems is the number of entries from which compression is worth its CPU time.
	minCompressItems = 16
	// maxDecompressedBytes limits the decompressed size of a message.
	maxDecompressedBytes = 64 << 20
)

// compressItems encodes and compresses items.
func compressItems(items []carobthread.StoreItem) ([]byte, error) {
	var compressed bytes.Buffer
	compressor, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress items: %w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(items); err != nil {
		return nil, fmt.Errorf("compress items: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress items: %w", err)
	}
	return compressed.Bytes(), nil
}

// decompressItems decodes the output of compressItems.
func decompressItems(compressed []byte) ([]carobthread.StoreItem, error) {
	var items []carobthread.StoreItem
	decompressed := io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes)
	if err := gob.NewDecoder(decompressed).Decode(&items); err != nil {
		return nil, fmt.Errorf("decompress items: %w", err)
	}
	return items, nil
}

// compressedTable caches the compressed form of one version of the routing table, which is sent to many hosts.
type compressedTable struct {
	version    uint64
	compressed []byte
}

// get returns the compressed form of the item of the table with the version and caches it. The item's revision doesn't
// identify it, since the store may issue it again in a later era.
func (cache *compressedTable) get(version uint64, item *carobthread.StoreItem) ([]byte, error) {
	if cache.compressed != nil && cache.version == version {
		return cache.compressed, nil
	}
	compressed, err := compressItems([]carobthread.StoreItem{*item})
	if err != nil {
		return nil, err
	}
	cache.version, cache.compressed = version, compressed
	return compressed, nil
}

// compress replaces the routing table and a long list of entries in the delta by their compressed forms.
func (message *exchangeMessage) compress(cache *compressedTable) error {
	delta, err := message.Delta, error(nil)
	if delta.Table != nil {
		if message.Table, err = cache.get(delta.Version, delta.Table); err != nil {
			return err
		}
		delta.Table = nil
	}
	if message.Items, err = compressLong(&delta.Items); err != nil {
		return err
	}
	message.Held, err = compressLong(&delta.Held)
	return err
}

// compressLong returns the compressed form of a long list and empties the list; it returns nil for a short list.
func compressLong(items *[]carobthread.StoreItem) ([]byte, error) {
	if len(*items) < minCompressItems {
		return nil, nil
	}
	compressed, err := compressItems(*items)
	*items = nil
	return compressed, err
}

// decompress restores the compressed routing table and entries in the delta.
func (message *exchangeMessage) decompress() error {
	if message.Table != nil {
		items, err := decompressItems(message.Table)
		if err != nil {
			return err
		}
		if len(items) != 1 {
			return fmt.Errorf("answer contains %d routing tables, want 1", len(items))
		}
		message.Delta.Table = &items[0]
	}
	var err error
	if message.Items != nil {
		if message.Delta.Items, err = decompressItems(message.Items); err != nil {
			return err
		}
	}
	if message.Held != nil {
		message.Delta.Held, err = decompressItems(message.Held)
	}
	return err
}
