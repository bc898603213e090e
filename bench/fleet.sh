#!/usr/bin/env bash
# Runs a whole deployment as separate processes on free loopback ports: the
# platform's stand-ins, engines, services and daemons. It prints the daemons'
# URLs, one per line, to DIR/daemons once the configuration is in force, and stops
# all processes that it started when it receives SIGTERM or SIGINT.
#
#   bench/fleet.sh DIR [da-nang|isarwerk] [DAEMONS]
#
# Environment: ENGINES, SERVICES, ZONES, MODEL and SERVICE override the
# deployment's defaults; ENGINE_SET holds additional lines for the [engine] section,
# DAEMON_SET additional "--set section.key=value" flags. SLOW_ZONE puts a fault proxy
# in front of the engines of that zone that delays each direction by SLOW_MS.
set -euo pipefail

dir=$1
deployment=${2:-da-nang}
daemons=${3:-4}
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$dir/logs"
: >"$dir/daemons"
export TARRAGONHOLLOW_TOKEN=${TARRAGONHOLLOW_TOKEN:-bench-operator-token}

case $deployment in
da-nang)
  zones=(${ZONES:-hai-chau son-tra ngu-hanh lien-chieu})
  model=ordering engines=${ENGINES:-10} service=kitchen-tickets services=${SERVICES:-4} ;;
isarwerk)
  zones=(${ZONES:-garching-a garching-b freising-1 muc-ost})
  model=drawing-reader engines=${ENGINES:-20} service=register-lookup services=${SERVICES:-4} ;;
*)
  echo "unknown deployment $deployment" >&2
  exit 2 ;;
esac

pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 1
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap stop EXIT
trap 'exit 0' TERM INT

(cd "$root" && go build -o "$dir/bin/" ./cmd/...)

# await FILE PATTERN prints the first match of the pattern in the file.
await() {
  for _ in $(seq 200); do
    if grep -oE "$2" "$1" 2>/dev/null | head -1 | grep .; then return; fi
    sleep 0.05
  done
  echo "no $2 in $1" >&2
  return 1
}

# standin KIND NAME starts a stand-in with DIR/NAME.ini and sets $address to its address.
standin() {
  "$dir/bin/tarragonhollow-standin" "$1" --settings "$dir/$2.ini" >"$dir/logs/$2.out" 2>"$dir/logs/$2.err" &
  pids+=($!)
  address=$(await "$dir/logs/$2.out" 'address=[0-9.:]+' | cut -d= -f2)
}

list() { # list NAME ROLE ADDRESS ZONE adds a host to the host list.
  curl -sf -X PUT "http://$hosts/control/hosts/$1" \
    -d "{\"name\":\"$1\",\"role\":\"$2\",\"address\":\"$3\",\"zone\":\"$4\",\"state\":\"live\"}" >/dev/null
}

printf '[log]\nlisten = 127.0.0.1:0\nappends_per_second = %s\n' "${APPENDS:-400}" >"$dir/log.ini"
printf '[hosts]\nlisten = 127.0.0.1:0\nlag = 500ms\n' >"$dir/hosts.ini"
standin log log; log=$address
standin hosts hosts; hosts=$address
echo "$log" >"$dir/log.address"

engine_list=() service_list=()
for i in $(seq 0 $((engines - 1))); do
  zone=${zones[$((i % ${#zones[@]}))]}
  printf '[engine]\nlisten = 127.0.0.1:0\nmodel = %s\nversion = 1\nseed = %s\n%b\n' "$model" "$i" "${ENGINE_SET:-}" >"$dir/engine-$i.ini"
  standin engine "engine-$i"
  if [ "$zone" = "${SLOW_ZONE:-}" ]; then
    printf '[fault-proxy]\nlisten = 127.0.0.1:0\ntarget = %s\n' "$address" >"$dir/proxy-$i.ini"
    standin fault-proxy "proxy-$i"
    curl -sf -X PUT "http://$(await "$dir/logs/proxy-$i.out" 'control=[0-9.:]+' | cut -d= -f2)/control/faults" \
      -H 'Content-Type: application/json' -d "{\"delay_up_ms\":${SLOW_MS:-25},\"delay_down_ms\":${SLOW_MS:-25}}" >/dev/null
  fi
  list "engine-$i" target "$address" "$zone"
  engine_list+=("$address@$zone")
done
for i in $(seq 0 $((services - 1))); do
  zone=${zones[$((i % ${#zones[@]}))]}
  printf '[service]\nlisten = 127.0.0.1:0\nname = %s\n' "$service" >"$dir/service-$i.ini"
  standin service "service-$i"
  list "service-$i" target "$address" "$zone"
  service_list+=("$address@$zone")
done
printf '%s\n' "${engine_list[@]}" >"$dir/engines"

join() { local IFS=,; echo "$*"; }
sed -e "/^\[target-group $model\]/,/^addresses/ s|^addresses = .*|addresses = $(join "${engine_list[@]}")|" \
  -e "/^\[target-group $service\]/,/^addresses/ s|^addresses = .*|addresses = $(join "${service_list[@]}")|" \
  -e '/^max_in_flight_per_caller/d' -e '/^\[model /,/^$/d' \
  "$root/examples/$deployment/config.ini" >"$dir/config.ini"

urls=()
for i in $(seq 1 "$daemons"); do
  zone=${zones[$(((i - 1) % ${#zones[@]}))]}
  cat >"$dir/daemon-$i.ini" <<INI
[host]
name = entry-$i
zone = $zone
http_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
[platform]
log_url = http://$log
hosts_url = http://$hosts
[admin]
token = $TARRAGONHOLLOW_TOKEN
[drain]
grace = 100ms
timeout = 5s
INI
  "$dir/bin/tarragonhollow" serve --settings "$dir/daemon-$i.ini" ${DAEMON_SET:-} 2>"$dir/logs/daemon-$i.err" &
  pids+=($!)
  echo $! >"$dir/daemon-$i.pid"
  list "entry-$i" daemon "$(await "$dir/logs/daemon-$i.err" 'peer_address=[0-9.:]+' | cut -d= -f2)" "$zone"
  urls+=("http://$(await "$dir/logs/daemon-$i.err" 'http_address=[0-9.:]+' | cut -d= -f2)")
done

# A daemon that has just started refuses changes until it has read the stream.
for _ in $(seq 20); do
  "$dir/bin/tarragonhollow" config publish "$dir/config.ini" --base 0 --daemon "${urls[0]}" --timeout 20s && break
  sleep 0.5
done
for url in "${urls[@]}"; do
  for _ in $(seq 100); do curl -sf "$url/readyz" >/dev/null && break; sleep 0.1; done
done
printf '%s\n' "${urls[@]}" >"$dir/daemons"
echo "ready: ${urls[*]}"
while :; do sleep 1; done
