# A call that crashes the workers that run it must be refused when it comes again,
# and others must be served.
. ../../bench/fleet.sh
dir=$(mktemp -d)
workers=4

charge () { # instance key body
  curl -s -w '%{http_code}' -X POST -H 'X-Customer: customer-1' -H "Idempotency-Key: $2" -d "$3" \
    "http://127.0.0.1:$(caller_port "$1")/v1/services/$plain_service/charge" \
    | sed 's/.*"run":"\([a-z_]*\)".*}\([0-9]*\)$/\2 \1/; s/.*}\([0-9]*\)$/\1/'
}

claim_ports
fleet_start > /dev/null || echo "the fleet is not started"
sleep 1
for i in 1 2 3 4 5 6 7 8 9; do
  last=$(charge $((i % 3)) "bad-$i" crash)
  sleep 0.5
done
echo "a call that crashes workers, the ninth time: $last"
count=$(curl -s "http://127.0.0.1:$(($(service_port 0) - 1))/history" | grep -o '"crashes":[0-9]*')
[ "${count#*:}" -le 3 ] && echo "at most three workers ended" || echo "$count"
sleep 1.5
for i in 0 1 2; do
  echo "another call at instance $i: $(charge $i "fee-$i" amount=5)"
done
fleet_stop > /dev/null 2>&1
rm -rf "$dir"
