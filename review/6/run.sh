#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the lost answers.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/heatherwind.jar ] && [ -f target/review-2/LateReturn.class ] || exit 2
exec java -cp target/review-2 LateReturn review/6/record.txt
