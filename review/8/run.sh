#!/bin/sh
# A worker crashes, and starts again under its id with another software
# version, which its entry in the store says at once.  The time of day of the
# instances is two seconds ahead of that of the worker.  See claim.txt.
set -u
cd "$(dirname "$0")/../.." || exit 2
. review/standins-2/lab.sh
# How far the worker's time of day is from that of the instances.
clock_ms=-2000
[ "${TROUBLE:-1}" != 0 ] || clock_ms=0

lab_begin review/8
start_store review/standins-2/streams.json
start_worker 1 z-a 1
old_pid=$worker_pid
start_worker 2 z-b 2
for number in 1 2 3; do
  start_front "$number" "z-$(echo "$number" | tr 123 abc)"
done
await_fronts

"$standin" streams record="$record" entries="$entries" count=20 tries=6 \
  retry_ms=700 deadline_ms=15000 &
clients=$!
pids="$pids $clients"
sleep 0.8
note "kills worker i-1, version 1"
kill_worker "$old_pid"
sleep 0.5
note "starts worker i-1 again, version 2, clock $clock_ms ms"
start_worker 1 z-a 2 clock_ms="$clock_ms"
wait "$clients"
status=$?
note "clients ended with $status"
exit "$status"
