# Sourced by the scripts of cases 6 to 10: starts the store, instances and
# workers as separate processes on loopback addresses, and ends them.
# The variables case_dir and record are set by lab_begin.

standin=target/review-2/standin
daemon=target/build/ibisloomd

# Prepares a run of the case in folder $1.
lab_begin () {
  case_dir=$1
  record=$case_dir/record.txt
  : > "$record"
  [ -x "$standin" ] && [ -x "$daemon" ] || {
    echo "build first: the build of deploy/system.toml, then review/build-2.sh"
    exit 2
  }
  pids=
  fronts=
  front_pids=
  entries=
  service=pool
  work=$(mktemp -d) || exit 2
  trap lab_end EXIT
  trap 'exit 2' INT TERM
  ports=$("$standin" ports 6) || exit 2
  # shellcheck disable=SC2086
  set -- $ports
  entry_port=$1 ready_port=$2 peer_port=$3 operator_port=$4 worker_port=$5
  store=127.60.3.1:$6
}

# Ends all processes that were started.
lab_end () {
  for pid in $pids; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
  done
  wait 2> /dev/null
  rm -rf "$work"
}

# Writes a line of the script's own to the record.
note () {
  echo "$(awk '{ print $1 }' /proc/uptime) script: $*" >> "$record"
}

# Starts the store with the configuration in the file $1 and further options.
start_store () {
  config=$1
  shift
  "$standin" store listen="$store" config="$config" "$@" &
  store_pid=$!
  pids="$pids $store_pid"
}

# Starts instance $1, a number, in zone $2, as the deploy file does, with
# settings as deploy/instance.yaml makes them for a small deployment.
start_front () {
  address=127.60.1.$1
  cat > "$work/front-$1.yaml" << END
interface: platform
instance: front-$1
deployment: r
failure_domain: $2
region: r
listen: $address:$entry_port
readiness_listen: $address:$ready_port
peer_listen: $address:$peer_port
operator_listen: $address:$operator_port
platform: $store
cap_factor: 2
retry_ratio: 0.2
retry_slack: 58
grace_s: 8
drain_ms: 2000
slow_start: 1
work_aware: 1
load_relays: 1
local_context_tokens: 1024
config_apply_ms: 2000
store_writes_per_s: 400
admission_queue: 1
peers: [127.60.1.1:$operator_port, 127.60.1.2:$operator_port]
END
  run_front "$1"
  fronts="$fronts $address"
  entries="$entries${entries:+,}$address:$entry_port"
}

# Starts the process of instance $1.
run_front () {
  "$daemon" --settings "$work/front-$1.yaml" --evacuate-ms= \
    >> "$work/front-$1.log" 2>&1 &
  pids="$pids $!"
  front_pids="$front_pids $!"
}

# Kills the processes of all instances at once.
kill_fronts () {
  # shellcheck disable=SC2086
  kill -KILL $front_pids
  # shellcheck disable=SC2086
  wait $front_pids 2> /dev/null
  front_pids=
}

# Waits until all instances are ready.
await_fronts () {
  for address in $fronts; do
    "$standin" ready at="$address:$ready_port" within_ms=10000 || exit 2
  done
  # Until heartbeats and what the store is told have gone round.
  sleep 3
}

# Starts worker $1, a number, of the service in the variable service, in zone $2
# with software version $3 and the further options.  Its process is worker_pid.
start_worker () {
  number=$1
  zone=$2
  version=$3
  shift 3
  "$standin" worker listen=127.60.2."$number":"$worker_port" store="$store" \
    id=i-"$number" service="$service" zone="$zone" version="$version" \
    record="$record" "$@" &
  worker_pid=$!
  pids="$pids $worker_pid"
}

# Kills the worker whose process is $1.
kill_worker () {
  kill -KILL "$1"
  wait "$1" 2> /dev/null
}
