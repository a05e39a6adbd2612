# Two fleets that run at the same time must use different blocks of ports.
. ../../bench/fleet.sh
dir=$(mktemp -d)
claim_ports
first=$port
(
  port_lock=
  claim_ports
  [ "$port" -gt "$first" ] && echo "the second fleet uses a later block of ports"
)
exec {port_lock}>&-
port=$first
claim_ports && [ "$port" -eq "$first" ] \
  && echo "the first block of ports is free after its fleet has ended"
rm -r "$dir"
