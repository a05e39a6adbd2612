#!/bin/sh
# Runs the case in this folder; see ../common/run.sh.
exec "$(dirname "$0")/../common/run.sh" "$(dirname "$0")"
