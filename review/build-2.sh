#!/usr/bin/env bash
# Compiles the stand-ins and the scripts' programs in fleet-2/ into target/, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/fleet-2/*.java
