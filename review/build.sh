#!/usr/bin/env bash
# Builds what the cases start beside the project's own programs: one program without dependencies, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../bin
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/review-rig .
