#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 has one part before the deadly one.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/heatherwind.jar ] && [ -f target/review-2/CrashLatePart.class ] || exit 2
exec java -cp target/review-2 CrashLatePart review/8/record.txt
