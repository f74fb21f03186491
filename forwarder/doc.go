// Package forwarder serves callers that speak plain HTTP/1.1.
//
// Forwarder selects the route of a request, hands it to the query path, and
// writes the answer: a searcher's reply as it came, or the greatest records of
// the replies of all shards. These always hold:
//
//   - a success is one searcher's whole sealed reply, or records of sealed replies of one version of the routing table;
//   - 429 and 503 are sent only for requests that have not run and will not run;
//   - a caller that goes ends its attempts at once.
package forwarder
