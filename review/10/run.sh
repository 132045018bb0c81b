#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held and 2 if the case couldn't run.
# Run the build of the deploy file and review/build-2.sh first. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin-2 ] && [ -x target/yuccalanding-entry ] || exit 2
exec target/review-standin-2 gangfail review/10
