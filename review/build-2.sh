#!/bin/sh
# Builds the stand-ins and clients of the cases 4 to 8 with the compiler of the deploy file's packages.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standins-2/*.java
