#!/bin/sh
# Runs the case whose folder is the argument: writes FOLDER/record.txt and exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not be run.
# TROUBLE=0 in the environment leaves the disruption out.
set -u
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/build/review/$(basename "$folder")/case
if [ ! -x "$program" ]; then
  echo "build with deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 1 115 "$program" "$folder/record.txt"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
