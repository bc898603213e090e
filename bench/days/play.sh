#!/usr/bin/env bash
# Plays the days of deploy/days and every day that ever broke a rule on a site.
# Usage: bench/days/play.sh FLEETBENCH SITE WHY
# FLEETBENCH is the users' bench; days that broke a rule are listed in regressions.txt
# as "site day", the day as the bench names it or as "standard-day --seed N".
set -uo pipefail
bench=$1 site=$2 why=$3
here=$(dirname "$0")
days=$here/../../deploy/days
name=$(basename "$site" .toml)
broken=0
play() {
  local out
  out=$("$bench" "$@" --why "$why" 2>&1)
  echo "$out" | grep -m1 -E "^\S+ .* [0-9]+/[0-9]+ " || echo "$out" | tail -3
  if echo "$out" | grep -q BROKEN; then
    broken=$((broken + 1))
    echo "$out" | grep -A8 BROKEN | head -12
  fi
}
for day in "$days"/*.toml; do
  play run "$site" "$day"
done
while read -r of day; do
  [ "$of" = "$name" ] || continue
  # shellcheck disable=SC2086 # a seed is an argument of its own
  case "$day" in
  *--seed*) play run "$site" $day ;;
  *) play replay "$site" $day ;;
  esac
done < <(grep -v '^#' "$here/regressions.txt")
echo "$name: $broken days with a broken rule"
[ "$broken" -eq 0 ]
