#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/review/rig .
