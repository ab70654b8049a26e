#!/usr/bin/env bash
# Plays the case with stand-ins; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/release/corianderstile target/review/standin; do
  if [ ! -x "$program" ]; then
    echo "$program is missing; build the deploy file and run review/build.sh"
    exit 2
  fi
done
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
target/review/standin stopped-instance review/4
