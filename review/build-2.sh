#!/usr/bin/env bash
# Builds the programs of cases 6 to 10 into target/, with the JDK alone; the stand-ins that they share are in review/6/.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
