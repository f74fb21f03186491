package server

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/follower"
)

// storedTable returns the store item of a routing table with the given number of routes.
func storedTable(routes int) *carobthread.StoreItem {
	content := []byte(`{"version":7,"routes":{`)
	for i := range routes {
		content = fmt.Appendf(content, `"route-%d":{"host":"a.example","prefix":"/search-%d/","timeoutMs":1500,"maxAttempts":2},`, i, i)
	}
	return &carobthread.StoreItem{Key: "op/config", Revision: 40, Content: append(content, "}}"...)}
}

// Load: one host sends a new version of a large routing table to 100 others over a link of 48 Mbit/s. Guards against
// answers that saturate the link for seconds, and against a table or entries that differ after decompression.
func TestCompressedAnswers(t *testing.T) {
	const (
		hosts              = 100
		linkBytesPerSecond = 6_000_000
		maxTransferSeconds = 0.5 // a version must be active within 4 s
	)
	table := storedTable(3000)
	delta := follower.Delta{Table: table, Whole: true, Digest: follower.Digest{Version: 7, AsOf: 41}}
	for i := range 500 {
		delta.Items = append(delta.Items, carobthread.StoreItem{Key: fmt.Sprintf("servers/%d", i), Revision: uint64(i), Content: []byte("\xff" + `{"service":"a"}`)})
	}
	items := delta.Items
	delta.Held = items[:200]
	message := &exchangeMessage{Delta: &delta}
	cache := &compressedTable{}
	assert.NilError(t, message.compress(cache))
	assert.Assert(t, delta.Table == nil && delta.Items == nil && delta.Held == nil)
	transferSeconds := float64(hosts*len(message.Table)) / linkBytesPerSecond
	assert.Check(t, transferSeconds < maxTransferSeconds, "%d bytes of %d take %.1f s", len(message.Table), len(table.Content), transferSeconds)
	cachedTable, err := cache.get(delta.Version, table)
	assert.NilError(t, err)
	assert.Assert(t, &cachedTable[0] == &message.Table[0], "the table is compressed only once per version")
	assert.NilError(t, message.decompress())
	assert.DeepEqual(t, message.Delta.Table, table)
	assert.DeepEqual(t, message.Delta.Items, items)
	assert.DeepEqual(t, message.Delta.Held, items[:200])
}

// Guards against invalid compressed data from a peer that crashes the process or changes its state.
func TestDecompressRejectsInvalidBytes(t *testing.T) {
	compressed, err := compressItems([]carobthread.StoreItem{*storedTable(1), *storedTable(1)})
	assert.NilError(t, err)
	for _, invalid := range [][]byte{{}, {1, 2, 3}, compressed[:len(compressed)/2], compressed} {
		message := &exchangeMessage{Delta: &follower.Delta{}, Table: invalid}
		assert.Check(t, message.decompress() != nil, "%v", invalid)
	}
}
