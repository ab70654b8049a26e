#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the stand-in reads it (review/standin-2/main.rs).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/release/corianderstile ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standin lost review/6
