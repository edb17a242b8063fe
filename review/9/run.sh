#!/bin/sh
# Runs the case. Exit status: 1 the rule was broken, 0 it held, 2 not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/case-9
[ -x "$program" ] && [ -x ../../target/bergamotstage ] || exit 2
timeout -k 2 118 "$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
