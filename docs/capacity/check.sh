#!/bin/sh
# Fails if CAPACITY.md is not what the stored figures and the template give.
set -eu
cd "$(dirname "$0")"
page=$(mktemp)
trap 'rm -f "$page"' EXIT
awk -f model.awk figures.json template.md >"$page"
diff -u ../CAPACITY.md "$page"
