#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/review-rig ] && [ -x ../../bin/ashstand ] || { echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2; exit 2; }
exec ../bin/review-rig cut-answer ../.. record.txt
