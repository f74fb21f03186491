package server

// Between hosts, a routing table and long lists of entries travel compressed: one host tells a new version to all others
// of its data centre, and at 100 of them the plain text fills its link for seconds.

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"carobthread"
)

const (
	// packFrom is the number of entries from which compression is worth its processor time.
	packFrom = 16
	// maxUnpacked bounds the bytes that a compressed message may unfold to.
	maxUnpacked = 64 << 20
)

// pack encodes and compresses items.
func pack(items []carobthread.StoreItem) ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack items: %w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(items); err != nil {
		return nil, fmt.Errorf("pack items: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pack items: %w", err)
	}
	return packed.Bytes(), nil
}

// unpack reads what pack has written.
func unpack(packed []byte) ([]carobthread.StoreItem, error) {
	var items []carobthread.StoreItem
	plain := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked)
	if err := gob.NewDecoder(plain).Decode(&items); err != nil {
		return nil, fmt.Errorf("unpack items: %w", err)
	}
	return items, nil
}

// packedTable keeps the packed form of one version of the routing table, which is told to many hosts.
type packedTable struct {
	revision uint64
	packed   []byte
}

// of returns the packed form of the table's item.
func (table *packedTable) of(item *carobthread.StoreItem) ([]byte, error) {
	if table.packed != nil && table.revision == item.Revision {
		return table.packed, nil
	}
	packed, err := pack([]carobthread.StoreItem{*item})
	if err != nil {
		return nil, err
	}
	table.revision, table.packed = item.Revision, packed
	return packed, nil
}

// fold packs the routing table and a long list of entries of an answer.
func (message *followMessage) fold(table *packedTable) error {
	delta, err := message.Delta, error(nil)
	if delta.Table != nil {
		if message.Table, err = table.of(delta.Table); err != nil {
			return err
		}
		delta.Table = nil
	}
	if len(delta.Items) >= packFrom {
		if message.Items, err = pack(delta.Items); err != nil {
			return err
		}
		delta.Items = nil
	}
	return nil
}

// unfold puts what was packed back into the delta.
func (message *followMessage) unfold() error {
	if message.Table != nil {
		items, err := unpack(message.Table)
		if err != nil {
			return err
		}
		if len(items) != 1 {
			return fmt.Errorf("%d routing tables in one answer", len(items))
		}
		message.Delta.Table = &items[0]
	}
	if message.Items != nil {
		items, err := unpack(message.Items)
		if err != nil {
			return err
		}
		message.Delta.Items = items
	}
	return nil
}
