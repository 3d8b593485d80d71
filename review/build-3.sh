#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, without a network.
set -eu
cd "$(dirname "$0")/.standin-3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/standin-3 .
