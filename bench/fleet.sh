# Starts and stops the fakes and a small fleet on loopback.  Sourced by demo,
# bench/run and regress/fleet/*.sh.  The variables below may be set before
# fleet_start.

: "${BUILD:=build}"
: "${deployment:=feriamapa}"
: "${domains:=amba-a amba-b amba-c}"
: "${region:=amba}"
: "${chat_service:=asistente}"
: "${plain_service:=reservas}"
: "${instances:=3}"
: "${engines:=12}"
: "${workers:=3}"
: "${slots:=8}"
: "${cache_tokens:=200000}"
: "${prefill_us:=20}"
: "${itl_ms:=20}"
: "${service_ms:=3}"
: "${platform_ms:=2}"
: "${customers:=10}"
: "${load_factor:=1.25}"
: "${queue_ms:=1500}"
: "${silence_ms:=600}"
: "${attempt_ms:=600}"
: "${threads:=1}"
: "${control_bytes:=4096}"
: "${port:=21000}"
: "${extra_settings:=}"

PORT_STEP=2000   # between the port blocks of two fleets of one deployment
PORT_LAST=32000  # below the ephemeral port range of the kernel

pids=
dir=

platform_port () { echo $((port)); }
engine_port () { echo $((port + 101 + $1)); }
service_port () { echo $((port + 51 + $1)); }
caller_port () { echo $((port + 200 + $1)); }
peer_port () { echo $((port + 300 + $1)); }
operator_port () { echo $((port + 400 + $1)); }

# Prints the failure domain of instance, engine or worker $1: the domains in
# turn.
domain_of () {
  set -- "$1" $domains
  local n=$(($1 % ($# - 1)))
  shift $((n + 1))
  echo "$1"
}

wait_port () {
  local i=0
  while ! listens "$1"; do
    i=$((i + 1))
    [ "$i" -lt 200 ] || { echo "port $1 does not accept connections" >&2; return 1; }
    sleep 0.02
  done
}

# Returns whether something listens on port $1.
listens () { (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }

# Sets port to the start of the first block that no other fleet uses.  The
# processes of the fleet inherit the lock file, so that the block stays locked
# while any of them runs.
claim_ports () {
  while [ "$port" -lt "$PORT_LAST" ]; do
    exec {port_lock}> "${TMPDIR:-/tmp}/ibisloom-ports-$port.lock"
    if flock -n "$port_lock" && ! listens "$(platform_port)" \
      && ! listens "$(caller_port 0)"; then
      return 0
    fi
    exec {port_lock}>&-
    port=$((port + PORT_STEP))
  done
  echo "no free block of ports below $PORT_LAST" >&2
  return 1
}

# Waits until process $1 has logged that it listens on port $2.  A connection
# attempt would not show it, as another process may listen there.
wait_process () {
  until grep -qx "port $2 listens" "$dir/out.log"; do
    if ! kill -0 "$1" 2> /dev/null; then
      echo "process $1 ended at its start: $(tail -n 1 "$dir/err.log")" >&2
      return 1
    fi
    sleep 0.01
  done
}

# Starts a program in the background and sets started_pid to its process.  The
# logs exist before it runs, as wait_process reads them.
start_process () {
  touch "$dir/out.log" "$dir/err.log"
  "$@" >> "$dir/out.log" 2>> "$dir/err.log" &
  started_pid=$!
  pids="$pids $started_pid"
}

write_settings () {
  local i=$1 j
  {
    echo "instance: $(domain_of "$i")-$i"
    echo "deployment: $deployment"
    echo "failure_domain: $(domain_of "$i")"
    echo "region: $region"
    echo "listen: 127.0.0.1:$(caller_port "$i")"
    echo "peer_listen: 127.0.0.1:$(peer_port "$i")"
    echo "operator_listen: 127.0.0.1:$(operator_port "$i")"
    echo "platform: 127.0.0.1:${platform_via:-$(platform_port)}"
    echo "cluster_key_file: $dir/cluster.key"
    echo "operator_token_file: $dir/operator.token"
    echo "workers: $threads"
    echo "log_level: ${log_level:-warn}"
    echo "control_bytes_per_s: $control_bytes"
    echo "peers:"
    for ((j = 0; j < instances; j++)); do
      echo "  - 127.0.0.1:$(peer_port "$j")"
    done
    [ -z "$extra_settings" ] || echo "$extra_settings"
  } > "$dir/instance-$i.yaml"
}

put_object () {
  curl -sf -X PUT --data-binary "$2" \
    "http://127.0.0.1:$(platform_port)/v1/objects/$deployment/config/$1" > /dev/null \
    || { echo "$1 could not be written to the platform" >&2; return 1; }
}

preset_json () {
  echo "{\"load_factor\":$load_factor,\"queue_ms\":$queue_ms${preset_extra:-}}"
}

# Writes the services, customers and presets of the deployment to the platform.
configure_platform () {
  local i list=
  for ((i = 0; i < engines; i++)); do
    list="$list${list:+,}{\"name\":\"engine-$i\",\"address\":\"127.0.0.1:$(engine_port "$i")\",\"failure_domain\":\"$(domain_of "$i")\",\"slots\":$slots}"
  done
  put_object "services/$chat_service" "{\"kind\":\"chat\",\"silence_ms\":$silence_ms,\"deadline_ms\":${chat_deadline_ms:-30000},\"targets\":[$list]}" || return 1
  list=
  for ((i = 0; i < workers; i++)); do
    list="$list${list:+,}{\"name\":\"worker-$i\",\"address\":\"127.0.0.1:$(service_port "$i")\",\"failure_domain\":\"$(domain_of "$i")\"}"
  done
  put_object "services/$plain_service" "{\"kind\":\"plain\",\"attempt_timeout_ms\":$attempt_ms,\"deadline_ms\":${plain_deadline_ms:-8000},\"targets\":[$list]}" || return 1
  for ((i = 0; i < customers; i++)); do
    put_object "customers/customer-$i" "{\"weight\":1}" || return 1
  done
  put_object presets/ordinary "$(preset_json)" || return 1
  put_object presets/peak "$(preset_json)" || return 1
  put_object in-force "{\"preset\":\"ordinary\",\"settings\":$(preset_json),\"by\":\"setup\"}"
}

start_stand_ins () {
  start_process "$BUILD/fake_platform" "$(platform_port)" "$platform_ms"
  platform_pid=$started_pid
  wait_process "$platform_pid" "$(platform_port)" || return 1
  start_process "$BUILD/fake_engine" "$(engine_port 0)" "$engines" "$slots" "$cache_tokens" "$prefill_us" "$itl_ms"
  engine_pid=$started_pid
  wait_process "$engine_pid" $(($(engine_port 0) - 1)) || return 1
  start_process "$BUILD/fake_service" "$(service_port 0)" "$workers" "$service_ms"
  service_pid=$started_pid
  wait_process "$service_pid" $(($(service_port 0) - 1))
}

# Starts instance $1 and sets instance_pid[$1] to its process.
start_instance () {
  start_process "$BUILD/ibisloomd" --settings "$dir/instance-$1.yaml"
  instance_pid[$1]=$started_pid
}

wait_ready () {
  local i=0
  until curl -sf "http://127.0.0.1:$(caller_port "$1")/readyz" > /dev/null; do
    i=$((i + 1))
    if [ "$i" -ge 250 ] || ! kill -0 "${instance_pid[$1]}" 2> /dev/null; then
      echo "instance $1 is not ready: $(tail -n 1 "$dir/err.log")" >&2
      return 1
    fi
    sleep 0.02
  done
}

start_fleet () {
  local i
  declare -ga instance_pid
  for ((i = 0; i < instances; i++)); do write_settings "$i"; done
  for ((i = 0; i < instances; i++)); do start_instance "$i"; done
  for ((i = 0; i < instances; i++)); do wait_ready "$i" || return 1; done
}

fleet_start () {
  dir=$(mktemp -d "${TMPDIR:-/tmp}/ibisloom.XXXXXX")
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$dir/cluster.key"
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' > "$dir/operator.token"
  trap fleet_stop EXIT
  claim_ports && start_stand_ins && configure_platform && start_fleet
}

fleet_stop () {
  local pid
  trap - EXIT
  for pid in $pids; do kill -9 "$pid" 2> /dev/null; done
  wait 2> /dev/null
  pids=
  [ -z "${port_lock:-}" ] || exec {port_lock}>&-
  port_lock=
  [ -n "${keep_dir:-}" ] || rm -rf "$dir"
}
