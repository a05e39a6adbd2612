#!/bin/sh
# The store comes back from a copy that is four seconds old, and the processes
# of all instances are killed at the same moment.  Meanwhile streams of a
# software version that came after the copy are in progress.  See claim.txt.
# RESTORE=0 leaves out the first, KILL=0 the second, TROUBLE=0 both.
set -u
cd "$(dirname "$0")/../.." || exit 2
. review/standins-2/lab.sh
restores=${RESTORE:-1}
kills=${KILL:-1}
[ "${TROUBLE:-1}" != 0 ] || restores=0 kills=0

lab_begin review/10
start_store review/standins-2/streams.json
for number in 1 2 3 4; do
  start_worker "$number" "z-$(echo $((number % 3)) | tr 012 cab)" 1
done
for number in 1 2 3; do
  start_front "$number" "z-$(echo "$number" | tr 123 abc)"
done
await_fronts
sleep 1
note "copies the store"
"$standin" post at="$store" url=/objects/control/copy || exit 2
sleep 0.3
note "starts worker i-5, version 2"
start_worker 5 z-b 2
sleep 2.6

"$standin" streams record="$record" entries="$entries" count=60 tries=8 \
  retry_ms=300 deadline_ms=15000 break_ms=1000 &
clients=$!
pids="$pids $clients"
sleep 1.1
if [ "$kills" != 0 ]; then
  note "kills the processes of all instances"
  kill_fronts
fi
if [ "$restores" != 0 ]; then
  note "has the store come back from the copy"
  "$standin" post at="$store" url=/objects/control/restore || exit 2
fi
if [ "$kills" != 0 ]; then
  sleep 0.3
  note "starts the instances again"
  for number in 1 2 3; do
    run_front "$number"
  done
fi
wait "$clients"
status=$?
note "clients ended with $status"
exit "$status"
