#!/usr/bin/env bash
# Measures the daemons of a running bench/fleet.sh over some seconds and prints
# the mean (and the maximum) per daemon of: CPU time in percent of a core, resident
# and proportional memory in MiB, all bytes read and written by the process in KB/s,
# the bytes between daemons in KB/s, and calls a second by method.
#
#   bench/capacity/idle.sh DIR [SECONDS]
set -euo pipefail

dir=$1
seconds=${2:-25}
hz=$(getconf CLK_TCK)
export TARRAGONHOLLOW_TOKEN=${TARRAGONHOLLOW_TOKEN:-bench-operator-token}

# sample FILE writes one line "daemon key value" for each counter of each daemon.
sample() {
  local i=0 url pid
  : >"$1"
  while read -r url; do
    i=$((i + 1))
    pid=$(cat "$dir/daemon-$i.pid")
    [ -d "/proc/$pid" ] || continue
    {
      awk -v i="$i" '{ sub(/.*\) /, ""); print i, "ticks", $12 + $13 }' "/proc/$pid/stat"
      awk -v i="$i" '/^(rchar|wchar)/ { n += $2 } END { printf "%d io %.0f\n", i, n }' "/proc/$pid/io"
      awk -v i="$i" '/^VmRSS/ { print i, "rss", $2 }' "/proc/$pid/status"
      awk -v i="$i" '/^Pss:/ { print i, "pss", $2 }' "/proc/$pid/smaps_rollup"
      curl -sf -H "Authorization: Bearer $TARRAGONHOLLOW_TOKEN" "$url/metrics" |
        awk -v i="$i" '
          /^tarragonhollow_peer_(client|server)_(sent|received)_bytes_total/ { n += $2 }
          /^tarragonhollow_peer_calls_total/ { match($1, /method="[^"]*"/); print i, "call:" substr($1, RSTART + 8, RLENGTH - 9), $2 }
          /^tarragonhollow_(ledger_appends_total|signal_sent_total)/ { print i, "count:" $1, $2 }
          END { printf "%d peer %.0f\n", i, n }'
    } >>"$1"
  done <"$dir/daemons"
}

a=$(mktemp) b=$(mktemp)
trap 'rm -f "$a" "$b"' EXIT
sample "$a"
began=$(date +%s.%N)
sleep "$seconds"
took=$(awk -v a="$began" -v b="$(date +%s.%N)" 'BEGIN { print b - a }')
sample "$b"
awk -v took="$took" -v hz="$hz" '
  NR == FNR { old[$1, $2] = $3; next }
  {
    key = $2
    if (key == "rss" || key == "pss") v = $3 / 1024
    else v = ($3 - old[$1, $2]) / took
    if (key == "ticks") { v = v / hz * 100 }
    if (key == "io" || key == "peer") v /= 1000
    sum[key] += v; n[$1] = 1
    if (v > top[key]) top[key] = v
  }
  END {
    for (d in n) daemons++
    name["ticks"] = "core_percent"; name["io"] = "all_kb_per_s"; name["peer"] = "peer_kb_per_s"; name["rss"] = "rss_mib"; name["pss"] = "pss_mib"
    printf "daemons=%d seconds=%.1f\n", daemons, took
    for (k in sum) printf "  %s mean=%.3f max=%.3f\n", (k in name) ? name[k] : k, sum[k] / daemons, top[k]
  }' "$a" "$b" | (read -r head; echo "$head"; sort)
