package carobthread

// MemoryKind is a kind of data that a host holds in memory for callers or searchers.
type MemoryKind string

// The kinds of data held for callers (request bodies and answers) and for searchers (bodies being sent and replies).
const (
	MemoryRequestBodies MemoryKind = "request-bodies"
	MemoryAnswers       MemoryKind = "answers"
	MemorySentBodies    MemoryKind = "sent-bodies"
	MemoryReplies       MemoryKind = "replies"
)

// MemoryAccount holds the bytes that a host keeps for one request of a caller until the request is answered.
type MemoryAccount interface {
	// Keep adds bytes that have been counted already, and reports whether the account releases them when the request ends;
	// it does not if the request has ended.
	Keep(kind MemoryKind, bytes int64) bool
}
