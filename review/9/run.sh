#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case_program="$root/review/harness-2/target/release/review-case-2"
if [ ! -x "$case_program" ] || [ ! -x "$root/target/release/yuccatrail" ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$case_program" foreign-names "$root" "$folder" "$here/record.txt"
