#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/bin.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../bin
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/review-2 .
