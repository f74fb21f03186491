package server

import (
	"slices"
	"strings"

	"carobthread"
)

// MergedRecords is the answer merged from the replies of shards.
type MergedRecords struct {
	// Signatures holds the signatures of the replies, separated by commas.
	Signatures string
	// Body holds the greatest records of all replies.
	Body []byte
}

// MergeRecords merges the greatest records of the replies, at most topK of them.
func MergeRecords(replies []*carobthread.ShardReply, topK int) *MergedRecords {
	signatures := make([]string, len(replies))
	bodies := make([][]byte, len(replies))
	for i, reply := range replies {
		signatures[i], bodies[i] = reply.HTTP.Signature, reply.HTTP.Body
	}
	return &MergedRecords{Signatures: strings.Join(signatures, ", "), Body: topRecords(bodies, topK)}
}

// recordSize is the length of a record in a reply, in bytes.
const recordSize = 16

// topRecords returns the greatest records of all bodies in descending order of their bytes, at most count of them, ignoring a
// trailing partial record of each body. It uses memory for the records that are there, however great count is.
func topRecords(bodies [][]byte, count int) []byte {
	var records [][recordSize]byte
	for _, body := range bodies {
		for ; len(body) >= recordSize; body = body[recordSize:] {
			records = append(records, [recordSize]byte(body))
		}
	}
	slices.SortFunc(records, func(left, right [recordSize]byte) int { return slices.Compare(right[:], left[:]) })
	records = records[:min(max(0, count), len(records))]
	merged := make([]byte, 0, len(records)*recordSize)
	for _, record := range records {
		merged = append(merged, record[:]...)
	}
	return merged
}
