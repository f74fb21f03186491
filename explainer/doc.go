// Package explainer tells the story of one request from log files.
package explainer
