#!/bin/bash
# Runs the case; exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d review/standin-3/target/classes ] || bash review/build-2.sh || exit 2
timeout -k 2 118 java -Xmx1500m \
  -cp platform/target/lentilsail-platform-0.1.0-all.jar:review/standin-3/target/classes \
  review3.RebornCase review/8/record.txt 
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
