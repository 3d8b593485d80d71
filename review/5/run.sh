#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/.standin/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/.standin/bin/standin cut-event review/5/record.txt
