# The start of a fleet must fail if the platform is unreachable and its
# configuration cannot be written.
. ../../bench/fleet.sh
dir=$(mktemp -d)
claim_ports
configure_platform 2>&1 || echo "the fleet is not started"
rm -r "$dir"
