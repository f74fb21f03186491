// Package caller is the client of the searcher API.
//
// Caller keeps a pool of connections for each service and searcher, so that
// one service's slow searchers cannot take another's connections. Requests
// that may be repeated (SearchShard, Report) share a connection where the
// protocol allows it. A request that may not be repeated (Run) has a connection
// to itself while it runs. These always hold for Run:
//
//   - the request is sent on one connection and never again: http.ClientConn does not retry,
//     redirects are not followed, and the request has neither GetBody nor an idempotency header;
//   - the permit is asked once, directly before the first byte goes to the connection;
//   - "not run" is returned only if no byte was written, and no byte is written after Run has returned it;
//   - a connection whose Run failed is closed and never used again.
//
// HTTPCaller forwards plain HTTP requests on connections of its own kind (wire),
// each to one request at a time. A reply counts only if it is whole, sealed and
// for its request; a connection on which anything else has come is closed.
package caller
