#!/usr/bin/env bash
# Builds the stand-ins of the cases, into review/.standin/bin. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/standin .
