#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into bin/, beside the programs of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
(cd review/rig-2 && GOWORK=off GOFLAGS="${GOFLAGS:-} -mod=mod" go build -o ../../bin/review-2 .)
