#!/bin/bash
# Builds the stand-ins of the cases 4 to 8: one program, without dependencies, into bin/ (ignored by git).
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../bin
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off CGO_ENABLED=0 go build -o ../../bin/review-rig-2 .
