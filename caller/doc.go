// Package caller is the client of the searcher API.
//
// Caller keeps a connection pool for each service and searcher, so that slow
// searchers of one service cannot use up the connections of another. Idempotent
// requests (SearchShard, Report) share a connection where the protocol allows
// it. An at-most-once request (Run) has exclusive use of a connection while it
// runs. The following always holds for Run:
//
//   - the request is sent on one connection and never again: http.ClientConn does not retry,
//     redirects are not followed, and the request has neither GetBody nor an idempotency header;
//   - permit is called once, immediately before the first byte is written to the connection;
//   - NotRun is returned only if no byte was written, and no byte is written after Run has returned it;
//   - a connection whose Run failed is closed and never used again;
//   - a connection on which a request was answered as not run never carries that request again.
//
// HTTPCaller forwards plain HTTP requests over its own HTTP/1.1 connections,
// each of which carries one request at a time. A reply is accepted only if it
// is complete, signed by the searcher and for its request. A
// connection on which anything else was received is closed, and one on which
// a request was answered without a result never carries that request again.
package caller
