// Package forwarder serves callers that use plain HTTP/1.1.
//
// Forwarder selects the route of a request, passes the request to the query
// path and writes the response: either one searcher's reply unchanged, or the
// greatest records from the replies of all shards. The following always holds:
//
//   - a success is one searcher's complete signed reply, or consists of records from signed replies
//     that belong to a single version of the routing table;
//   - 408, 421, 429 and 503 are sent only for requests that have not run and will not run, also where a searcher answers
//     with one of them without stating so;
//   - the attempts of a request end as soon as its caller disconnects.
package forwarder
