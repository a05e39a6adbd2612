# Two fleets at a time take different ports.
. ../../bench/fleet.sh
dir=$(mktemp -d)
claim_ports
first=$port
(
  port_lock=
  claim_ports
  [ "$port" -gt "$first" ] && echo "the second fleet takes later ports"
)
exec {port_lock}>&-
port=$first
claim_ports && [ "$port" -eq "$first" ] && echo "free again once the first has ended"
rm -r "$dir"
