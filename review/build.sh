#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS= GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../bin/standins .
