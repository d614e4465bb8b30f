#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. TROUBLE=0 leaves the disruption out. What was sent, answered and
# run goes to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] || exit 2
exec target/review-harness residency review/5/record.txt
