package server

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"carobthread"
	"carobthread/follower"
)

// storedTable returns the item of a routing table with so many routes.
func storedTable(routes int) *carobthread.StoreItem {
	content := []byte(`{"version":7,"routes":{`)
	for i := range routes {
		content = fmt.Appendf(content, `"route-%d":{"host":"a.example","prefix":"/search-%d/","timeoutMs":1500,"maxAttempts":2},`, i, i)
	}
	return &carobthread.StoreItem{Key: "op/config", Revision: 40, Content: append(content, "}}"...)}
}

// Load: a new version of a large routing table, which one host tells 100 others over a link of 48 Mbit/s. Guards against an
// answer that fills the link for seconds, and against one that is not what was packed.
func TestFoldedAnswers(t *testing.T) {
	const (
		hosts        = 100
		linkBytes    = 6_000_000 // a second
		longestShare = 0.5       // of a second, of the 4 within which a version must be in force
	)
	table := storedTable(3000)
	delta := follower.Delta{Table: table, Whole: true, Digest: follower.Digest{Version: 7, AsOf: 41}}
	for i := range 500 {
		delta.Items = append(delta.Items, carobthread.StoreItem{Key: fmt.Sprintf("servers/%d", i), Revision: uint64(i), Content: []byte("\xff" + `{"service":"a"}`)})
	}
	items := delta.Items
	message := &followMessage{Delta: &delta}
	cached := &packedTable{}
	assert.NilError(t, message.fold(cached))
	assert.Assert(t, delta.Table == nil && delta.Items == nil)
	told := float64(hosts*len(message.Table)) / linkBytes
	assert.Check(t, told < longestShare, "%d bytes of %d take %.1f s", len(message.Table), len(table.Content), told)
	again, err := cached.of(table)
	assert.NilError(t, err)
	assert.Assert(t, &again[0] == &message.Table[0], "the table is packed once a version")
	assert.NilError(t, message.unfold())
	assert.DeepEqual(t, message.Delta.Table, table)
	assert.DeepEqual(t, message.Delta.Items, items)
}

// Guards against bytes of a host that are not what was packed and end the process or change its state.
func TestUnfoldRefusesOtherBytes(t *testing.T) {
	packed, err := pack([]carobthread.StoreItem{*storedTable(1), *storedTable(1)})
	assert.NilError(t, err)
	for _, bad := range [][]byte{{}, {1, 2, 3}, packed[:len(packed)/2], packed} {
		message := &followMessage{Delta: &follower.Delta{}, Table: bad}
		assert.Check(t, message.unfold() != nil, "%v", bad)
	}
}
