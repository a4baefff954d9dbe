#!/bin/sh
# Builds the stand-ins of the scripts in review/. Needs only the JDK.
set -eu
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes standin/review/*.java
