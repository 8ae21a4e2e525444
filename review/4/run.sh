#!/usr/bin/env bash
# Plays the case "many-ends" of review/standin/case.cpp.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption. Needs the build of the deploy file and review/build.sh.
set -u
Here=$(cd "$(dirname "$0")" && pwd)
cd "$Here/../.." || exit 2
Program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "$Program" ] && [ -x target/review/standin ] || { echo "not built"; exit 2; }
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
target/review/standin many-ends "$Program" "$Folder" "$Here/record.txt" "${TROUBLE:-1}"
