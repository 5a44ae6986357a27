#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -f target/heatherwind.jar ] && [ -f target/review/LedgerRace.class ] || { echo "build first"; exit 2; }
exec timeout -k 5 118 java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp target/review LedgerRace review/2/record.txt
