package caller

import (
	"context"

	"carobthread"
	"carobthread/rpc/carobthreadv1"
)

func encodeShardRequest(ctx context.Context, request *carobthread.ShardRequest) *carobthreadv1.SearchShardRequest {
	message := &carobthreadv1.SearchShardRequest{
		Attempt:  uint64(request.Attempt),
		Service:  request.Service,
		Shard:    request.Shard,
		Snapshot: request.Snapshot,
		Layout:   request.Layout,
		Query:    request.Request.Body,
		Limit:    request.Request.Limit,
	}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		message.DeadlineUs = deadline.UnixMicro()
	}
	return message
}

func decodeShardReply(message *carobthreadv1.SearchShardResponse) *carobthread.ShardReply {
	reply := &carobthread.ShardReply{
		Attempt:           carobthread.AttemptID(message.GetAttempt()),
		Shard:             message.GetShard(),
		Snapshot:          message.GetSnapshot(),
		Layout:            message.GetLayout(),
		Status:            replyStatus(message.GetStatus()),
		Draining:          message.GetDraining(),
		HeldSnapshots:     message.GetHeldSnapshots(),
		SnapshotAgeMicros: message.GetSnapshotAgeUs(),
		Hits:              make([]carobthread.Hit, len(message.GetHits())),
	}
	for i, hit := range message.GetHits() {
		reply.Hits[i] = carobthread.Hit{ID: hit.GetId(), Score: hit.GetScore(), Payload: hit.GetPayload()}
	}
	return reply
}

func replyStatus(status carobthreadv1.ShardStatus) carobthread.ReplyStatus {
	switch status {
	case carobthreadv1.ShardStatus_SHARD_STATUS_OK:
		return carobthread.ReplyOK
	case carobthreadv1.ShardStatus_SHARD_STATUS_SNAPSHOT_MISSING:
		return carobthread.ReplySnapshotMissing
	case carobthreadv1.ShardStatus_SHARD_STATUS_LAYOUT_MISSING:
		return carobthread.ReplyLayoutMissing
	case carobthreadv1.ShardStatus_SHARD_STATUS_SHED:
		return carobthread.ReplyShed
	case carobthreadv1.ShardStatus_SHARD_STATUS_DRAINING:
		return carobthread.ReplyDraining
	default:
		return carobthread.ReplyFailed
	}
}

func decodeReport(searcher string, message *carobthreadv1.ReportResponse) *carobthread.ReportArrived {
	return &carobthread.ReportArrived{
		Searcher:          searcher,
		Healthy:           message.GetHealthy(),
		Draining:          message.GetDraining(),
		Running:           int(message.GetRunning()),
		Queued:            int(message.GetQueued()),
		HeldSnapshots:     message.GetHeldSnapshots(),
		SnapshotAgeMicros: message.GetSnapshotAgeUs(),
	}
}
