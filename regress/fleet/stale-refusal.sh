# A worker repeats an earlier refusal, without an id, on a kept connection: the
# read that it runs meanwhile must not be reported as not run.
. ../../bench/fleet.sh
instances=1
workers=1

read_seat () { # key
  curl -s -w '%{http_code}' -H 'X-Customer: customer-1' -H "Idempotency-Key: $1" \
    "http://127.0.0.1:$(caller_port 0)/v1/services/$plain_service/seat" \
    | sed 's/.*"run":"\([a-z_]*\)".*}\([0-9]*\)$/\2 \1/; s/.*}\([0-9]*\)$/\1/'
}

fleet_start > /dev/null || echo "the fleet is not started"
control=http://127.0.0.1:$(($(service_port 0) - 1))
sleep 1
echo "a read: $(read_seat seat-1)"
curl -s "$control/fault?worker=0&mode=busy" > /dev/null
echo "a read that is refused: $(read_seat seat-2)"
curl -s "$control/fault?worker=0&mode=ok" > /dev/null
echo "a read: $(read_seat seat-3)"
curl -s "$control/fault?worker=0&mode=stale" > /dev/null
echo "a read that is run: $(read_seat seat-4)"
curl -s "$control/history" | grep -q '"seat-4":\["[^"]*"\]' && echo "it ran once"
fleet_stop > /dev/null 2>&1
