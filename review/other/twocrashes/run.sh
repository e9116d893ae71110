#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
case_dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_dir/../../.." || exit 2
[ -x target/review-standin ] && [ -x target/currantloom ] || { echo "not built"; exit 2; }
exec target/review-standin twocrashes target/currantloom "$case_dir/record.txt"
