# The start must fail with the reason if a fake server cannot bind its port, even
# if another process accepts connections there.
. ../../bench/fleet.sh
dir=$(mktemp -d)
claim_ports
start_stand_ins && echo "the fake servers listen"
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
