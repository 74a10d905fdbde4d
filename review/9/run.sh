#!/usr/bin/env bash
# Plays the case; needs the deploy file's build and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/ashstand ] && [ -x review/bin/review-2 ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec review/bin/review-2 kept-stale review/9
