# A charge that ran must not run again when the store has lost its record, and a
# new one must run.
. ../../bench/fleet.sh
dir=$(mktemp -d)

charge () { # instance key
  curl -s -X POST -H 'X-Customer: customer-1' -H "Idempotency-Key: $2" -d 'amount=5' \
    "http://127.0.0.1:$(caller_port "$1")/v1/services/$plain_service/charge" \
    | grep -o '"executions":[0-9]*'
}

claim_ports
fleet_start > /dev/null || echo "the fleet is not started"
sleep 1
echo "a charge at instance 0: $(charge 0 fee-1)"
curl -s "http://127.0.0.1:$(platform_port)/control/restore?ms=500" > /dev/null
echo "again at instance 1, the store restored: $(charge 1 fee-1)"
echo "again at instance 2: $(charge 2 fee-1)"
echo "another charge at instance 1: $(charge 1 fee-2)"
fleet_stop > /dev/null 2>&1
rm -rf "$dir"
