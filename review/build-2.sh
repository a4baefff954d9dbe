#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/standin-2/target
mkdir -p review/standin-2/target
javac --release 17 -nowarn -cp platform/target/lentilsail-platform-0.1.0-all.jar \
  -d review/standin-2/target review/standin-2/review2/*.java
rm -rf review/standin-3/target
mkdir -p review/standin-3/target/classes
javac --release 17 -nowarn -cp platform/target/lentilsail-platform-0.1.0-all.jar \
  -d review/standin-3/target/classes review/standin-3/review3/*.java
