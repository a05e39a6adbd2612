#!/bin/sh
# The processes of all instances are killed at once while one software version
# serves, and a worker of a second one has come when clients take their streams
# up, also those who do so when the instances have been in touch for long.  See
# claim.txt.  SECOND=0 leaves out the second version, TROUBLE=0 the kill.
set -u
cd "$(dirname "$0")/../.." || exit 2
. review/standins-2/lab.sh
trouble=${TROUBLE:-1}

lab_begin review/8
start_store review/standins-2/streams.json
for number in 1 2 3 4; do
  start_worker "$number" "z-$(echo $((number % 3)) | tr 012 cab)" 1
done
for number in 1 2 3; do
  start_front "$number" "z-$(echo "$number" | tr 123 abc)"
done
await_fronts

# The instances start again 1.5 s after the clients, and are in touch 3 s
# (contact_ms) after that.  Without the kill, or the second version, streams go
# on at the first try, so that all tries count.
touch_ms=4700
[ "$trouble" != 0 ] && [ "${SECOND:-1}" != 0 ] || touch_ms=0
"$standin" streams record="$record" entries="$entries" count=30 tries=5 \
  retry_ms=1200 deadline_ms=15000 break_ms=1000 late_count=30 late_ms=4800 \
  check=taken_up touch_ms="$touch_ms" &
clients=$!
pids="$pids $clients"
sleep 1
if [ "$trouble" != 0 ]; then
  note "kills the processes of all instances"
  kill_fronts
fi
sleep 0.2
if [ "${SECOND:-1}" != 0 ]; then
  note "starts worker i-5, version 2"
  start_worker 5 z-b 2
fi
sleep 0.3
if [ "$trouble" != 0 ]; then
  note "starts them again"
  for number in 1 2 3; do
    run_front "$number"
  done
fi
wait "$clients"
status=$?
note "clients ended with $status"
exit "$status"
