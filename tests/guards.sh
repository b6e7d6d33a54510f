#!/usr/bin/env bash
# Plays the pairs of tests/guards.txt: each test has to pass with all guards in and to fail with its guard taken out.
# tests/guards.sh [FOLDER] [WORD], after a build with -DFOXSHUNT_SEAMS=ON there (target-seams); WORD: only lines that have it.
set -uo pipefail
cd "$(dirname "$0")/.."
folder="${1:-target-seams}"
word="${2:-}"
limit_s=300  # of one test; most take less than a second

# play GUARD PROGRAM FILTER: passed, failed, crashed, or none if no test ran
play() {
  local out status
  out="$(FOXSHUNT_WITHOUT="$1" timeout "$limit_s" "$folder/tests/$2" --gtest_filter="$3" 2>&1)"
  status=$?
  if [[ $status -ne 0 ]]; then
    if [[ $status -eq 1 && "$out" == *"FAILED TEST"* ]]; then echo failed; else echo crashed; fi
  elif [[ "$out" =~ \[\ \ PASSED\ \ \]\ [1-9] ]]; then
    echo passed
  else
    echo none
  fi
}

bad=0
played=0
declare -A with_all
while IFS='|' read -r guard program filter crash; do
  read -r guard <<<"$guard"
  [[ -z "$guard" || "$guard" == \#* ]] && continue
  read -r program <<<"$program"
  read -r filter <<<"$filter"
  read -r crash <<<"${crash:-}"
  [[ "$guard $program $filter" == *"$word"* ]] || continue
  key="$program $filter"
  [[ -v "with_all[$key]" ]] || with_all[$key]="$(play '' "$program" "$filter")"
  without="$(play "$guard" "$program" "$filter")"
  verdict=ok
  [[ "${with_all[$key]}" == passed ]] || verdict=BAD
  [[ "$without" == failed || ("$without" == crashed && "$crash" == crash) ]] || verdict=BAD
  [[ $verdict == ok ]] || bad=$((bad + 1))
  played=$((played + 1))
  printf '%-4s %-20s %-15s all in: %-8s without: %-8s %s\n' "$verdict" "$guard" "$program" "${with_all[$key]}" \
    "$without" "$filter"
done <tests/guards.txt
echo "$played pairs, $bad bad"
[[ $played -gt 0 && $bad -eq 0 ]]
