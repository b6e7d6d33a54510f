#!/usr/bin/env bash
# Plays the tests that take too long for CI (those whose names begin with DISABLED_): long days of 1,260 machines in virtual
# time, whose shares of served work it prints, many small days with quick crashes, with concurrent faults, with refusals and
# with zones that lose their machines, and all moments of a refusal of the leader with an outage after it. A broken rule fails it. Outside CI, in one process at a
# time, after the build that README.md tells; what came of it is written to tests/long-days.result.txt.
# tests/long-days.sh [FIRST SEED] [LAST SEED] [SECONDS] of the long days, [FIRST SEED] [LAST SEED] of the quick days and of those
# with concurrent faults
set -euo pipefail
cd "$(dirname "$0")/.."
program=target/tests/scenario_tests
result=tests/long-days.result.txt

declare -A days=(
  [LargeDays.DISABLED_Long]="${1:-1} ${2:-10} ${3:-900}"
  [ManyQuickDays.DISABLED_KeepTheRules]="${4:-101} ${5:-1000}"
  [ManyConcurrentFaultDays.DISABLED_KeepTheRules]="${4:-201} ${5:-2000}"
  [ManyRefusalDays.DISABLED_KeepTheRules]=""  # seeds 1001 to 4000
  [ManyZoneLossDays.DISABLED_AJobBoundToTheZoneRuns]=""  # seeds 1001 to 5000
  [RefusedAloneAtAllMoments.DISABLED_CancelledTasksAreGoneInTime]=""
)
# All there are, so that none is forgotten.
all="$($program --gtest_list_tests | awk '/^[^ ]/ {suite = $1} /^  DISABLED_/ {print suite $1}' | sort)"
[[ "$all" == "$(printf '%s\n' "${!days[@]}" | sort)" ]] || {
  echo "the tests that are disabled are others than this script plays:"$'\n'"$all" >&2
  exit 1
}

output="$(mktemp)"
trap 'rm -f "$output"' EXIT
{
  echo "# Written by tests/long-days.sh."
  echo "date $(date -u +%Y-%m-%dT%H:%M:%SZ)"
  echo "revision $(git rev-parse HEAD)$([[ -z "$(git status --porcelain -- src tests ":!$result")" ]] || echo " with changes")"
} >"$result"
code=0
for name in $all; do
  read -r first last seconds <<<"${days[$name]}"
  began=$SECONDS
  verdict=passed
  DAYS="${days[$name]}" $program --gtest_also_run_disabled_tests --gtest_filter="$name" 2>&1 | tee "$output" || {
    code=1
    seeds="$(grep -oE '\bseed [0-9]+$' "$output" | sort -u | cut -d' ' -f2 | paste -sd' ')"
    verdict="failed${seeds:+, seeds $seeds}"
  }
  grep -q '\[  PASSED  \] 1 test' "$output" || [[ $verdict != passed ]] || { code=1; verdict="not run"; }
  echo "$name: ${first:+seeds $first to $last${seconds:+ of $seconds s}: }$verdict; took $((SECONDS - began)) s" >>"$result"
done
cat "$result"
exit $code
