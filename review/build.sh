#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review; needs a JDK 17 and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -encoding UTF-8 -Xlint:all -d target/review $(find review/standins -name '*.java')
