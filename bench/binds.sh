#!/usr/bin/env bash
# Prints where the worth of a played day is lost, as parts that add up to its
# difference from 1: the whole day by kind and outcome of requests, the worst
# seconds, the worst kind, and the prices.
# Usage: fleetbench run SITE DAY ... > day.out; bench/binds.sh day.out KIND=WORTH:LATE ...
# The pairs are the two columns "worth, late" of the site's sheet.
set -euo pipefail
day=$1
shift
awk -v sheet="$*" '
BEGIN {
  n = split(sheet, pairs, " ")
  for (i = 1; i <= n; i++) {
    split(pairs[i], kv, "=")
    split(kv[2], credit, ":")
    full[kv[1]] = credit[1]
    late[kv[1]] = credit[2]
  }
}
/ts=/ { next } # the log lines of the daemons
/^worth [0-9.-]+ = / {
  line = $0
  worth = $2
  while (match(line, /[a-z ]+ -?[0-9.]+ \(weight [0-9.]+\)/)) {
    part = substr(line, RSTART, RLENGTH)
    line = substr(line, RSTART + RLENGTH)
    m = split(part, w, " ")
    name = ""
    for (i = 1; i < m - 2; i++) name = name w[i] " "
    weight = w[m] + 0
    lost[name] = weight * (1 - w[m - 2])
  }
}
($1 in full) && NF >= 10 {
  owed += full[$1] * ($2 - $7)
  by[$1 " late"] += $4 * (full[$1] - late[$1])
  by[$1 " refused"] += $5 * full[$1]
  by[$1 " failed"] += $6 * full[$1]
}
END {
  left = 1 - worth
  for (name in lost) {
    left -= lost[name]
    if (name !~ /whole day/) printf "%-28s %.3f\n", name, lost[name]
    else whole = lost[name]
  }
  for (name in by) sum += by[name]
  for (name in by) if (by[name] > 0) printf "%-28s %.3f\n", name, whole * by[name] / sum
  printf "%-28s %.3f\n%-28s %.3f\n", "prices", left, "missing from 1", 1 - worth
}' "$day" | sort
