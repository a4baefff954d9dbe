#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Build before: the command of the deploy file, then review/build.sh.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -f ../target/classes/review/Cases.class ] || [ -z "$(ls "$root"/platform/target/*-all.jar 2>/dev/null)" ]; then
  echo "build the project and review/build.sh first" >&2
  exit 2
fi
java -cp ../target/classes review.Cases hopeless "$root" "$PWD"
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
