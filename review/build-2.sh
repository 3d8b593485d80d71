#!/bin/sh
# Builds the stand-ins that the cases of the second review start. They need the standard
# library alone.
set -e
cd "$(dirname "$0")/.standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2/review2 .
