# A stand-in that cannot listen ends the start with its reason, even if another
# process answers on its port.
. ../../bench/fleet.sh
dir=$(mktemp -d)
claim_ports
start_stand_ins && echo "the stand-ins listen"
(
  pids=
  dir=$(mktemp -d)
  start_stand_ins 2>&1 | sed 's/process [0-9]*/process N/; s/[0-9]\{5\}/PORT/'
  rm -r "$dir"
)
exec 2> /dev/null
kill -9 $pids
wait
rm -r "$dir"
