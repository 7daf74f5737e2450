#!/usr/bin/env bash
# Runs the case on loopback addresses, after the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0
# it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/standins ] || exit 2
[ -x target/release/mustardhinge-resident ] || exit 2
target/review/standins lapse "$folder" > /dev/null
