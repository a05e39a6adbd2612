# A target that the platform lists as leaving gets no new work, also if another
# entry of the list cannot be read.
. ../../bench/fleet.sh
dir=$(mktemp -d)

claim_ports
fleet_start > /dev/null || echo "the fleet is not started"
curl -s -X POST --data "{\"targets\":[{\"service\":\"x\",\"name\":1e400},{\"service\":\"$chat_service\",\"name\":\"engine-1\",\"state\":\"leaving\"}]}" \
  "http://127.0.0.1:$(platform_port)/control/instances" > /dev/null
sleep 2
echo "leaving: $(curl -s -H "Authorization: Bearer $(cat "$dir/operator.token")" \
  "http://127.0.0.1:$(operator_port 0)/operator/status" | grep -o '"state": *"leaving"' | wc -l)"
fleet_stop > /dev/null 2>&1
rm -rf "$dir"
