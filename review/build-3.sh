#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, without a network.
set -eu
cd "$(dirname "$0")/.standin-3"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standin-3 .
