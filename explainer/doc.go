// Package explainer collects the history of one request from log files.
package explainer
