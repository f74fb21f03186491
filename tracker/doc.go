// Package tracker follows which hosts are live, leaving or gone.
//
// It joins the platform's lagging list with what the hosts tell each other:
// each exchange between two hosts is a heartbeat of both, and changes spread
// as records that ride on the exchanges a bounded number of times.
package tracker
