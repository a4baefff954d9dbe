#!/bin/bash
# Builds the stand-ins of review/standin-3. Needs the JDK and the jar that the build of the deploy
# file has made; no network.
set -e
cd "$(dirname "$0")/.."
classes=review/standin-3/target/classes
rm -rf "$classes"
mkdir -p "$classes"
javac -nowarn -cp platform/target/lentilsail-platform-0.1.0-all.jar -d "$classes" \
  review/standin-3/review3/*.java
