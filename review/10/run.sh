#!/bin/sh
# Case 10 (restart). Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-standin-2 ] || { echo "review/build-2.sh has not been run" >&2; exit 2; }
exec bin/review-standin-2 restart review/10
