# A configuration that the platform did not take ends the start.
. ../../bench/fleet.sh
dir=$(mktemp -d)
claim_ports
configure_platform 2>&1 || echo "no fleet"
rm -r "$dir"
