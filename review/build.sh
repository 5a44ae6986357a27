#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/src/*.java
