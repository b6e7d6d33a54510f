#!/usr/bin/env bash
# Compares what the present sources do with what an earlier revision did: plays all scenarios and twenty seeds of each kind
# of random days in the emulated world with both, and compares digests of all that crosses a process boundary.
#
# tests/same-behaviour.sh [BASE]               exit 0: all digests are equal; 1: some differ; 2: it could not be told
# tests/same-behaviour.sh [BASE] --trace NAME  shows the first messages of that scenario or day that differ
#
# BASE: a revision that has tests/behaviour; by default the newest one whose src/ is that of 5953b2c, the state that is
# to be kept. Digests of BASE are kept in the build folder. A renamed test is found again by its digest.
# JOBS: processes at a time (4). BUILD_FOLDER: of the present sources (target). BEHAVIOUR_CACHE: of BASE
# (BUILD_FOLDER/behaviour).
set -euo pipefail
cd "$(dirname "$0")/.."

readonly reference=5953b2c
readonly jobs="${JOBS:-4}"
readonly build_folder="${BUILD_FOLDER:-target}"
readonly cache="${BEHAVIOUR_CACHE:-$build_folder/behaviour}"
readonly traces_shown=3    # differing tests whose first differing message is shown
readonly messages_shown=5  # of each side, with --trace

fail() {
  echo "same-behaviour: $*" >&2
  exit 2
}

# The newest revision with the recorder whose src/ is that of the reference.
default_base() {
  local revision src
  src="$(git rev-parse "$reference:src")"
  while read -r revision; do
    if [[ "$(git rev-parse "$revision:src")" == "$src" ]]; then
      echo "$revision"
      return
    fi
  done < <(git log --format=%H -- tests/behaviour tests/standins/traffic_recorder.cpp)
  fail "no revision has tests/behaviour and the src/ of $reference"
}

# build SOURCE FOLDER
build() {
  local log="$cache/build.log"
  if ! { cmake -S "$1" -B "$2" -DCMAKE_BUILD_TYPE=Release -DFOXSHUNT_TESTS=ON &&
    cmake --build "$2" -j "$jobs" --target behaviour_digest; } >"$log" 2>&1; then
    tail -n 30 "$log" >&2
    fail "the build of $1 failed, see $log"
  fi
}

# play PROGRAM DIGESTS: in parallel, in shards
play() {
  local shard pids=()
  rm -f "$2".shard-*
  for ((shard = 0; shard < jobs; ++shard)); do
    GTEST_TOTAL_SHARDS="$jobs" GTEST_SHARD_INDEX="$shard" "$1" "$2.shard-$shard" >/dev/null &
    pids+=($!)
  done
  for pid in "${pids[@]}"; do wait "$pid" || fail "$1 ended with an error"; done
  cat "$2".shard-* | LC_ALL=C sort >"$2.new"
  rm -f "$2".shard-*
  [[ -s "$2.new" ]] || fail "$1 has played nothing"
  mv "$2.new" "$2"
}

# trace PROGRAM NAME FILE: the messages of that test; the file is empty if there is no such test
trace() {
  : >"$3"
  "$1" /dev/null "$3" --gtest_filter="$2" >/dev/null
}

base=""
name=""
while (($# > 0)); do
  case "$1" in
    --trace) name="${2:?--trace NAME}"; shift 2 ;;
    -*) fail "unknown option $1" ;;
    *) base="$1"; shift ;;
  esac
done
revision="$(git rev-parse --verify --quiet "${base:-$(default_base)}^{commit}")" || fail "no such revision: $base"
git cat-file -e "$revision:tests/behaviour/behaviour_digest.cpp" 2>/dev/null ||
  fail "$revision has no tests/behaviour/behaviour_digest.cpp; the first that has: $(default_base)"

readonly base_folder="$cache/$revision"
readonly base_build="$base_folder/source/target"
readonly base_program="$base_build/tests/behaviour_digest"
readonly base_digests="$base_folder/digests.txt"
readonly program="$build_folder/tests/behaviour_digest"
readonly digests="$cache/present.txt"

# The folder is kept: the program reads its scenarios there.
build_base() {
  if [[ -x "$base_program" ]]; then return; fi
  mkdir -p "$base_folder/source"
  git archive "$revision" | tar -x -C "$base_folder/source"
  build "$base_folder/source" "$base_build"
}

mkdir -p "$base_folder" "$build_folder"
build . "$build_folder"

# first_difference NAME-IN-BASE NAME MESSAGES
first_difference() {
  build_base
  trace "$base_program" "$1" "$cache/base.trace"
  trace "$program" "$2" "$cache/present.trace"
  awk -v most="$3" '
    NR == FNR { base[FNR] = $0; count = FNR; next }
    !found && $0 != base[FNR] { found = FNR }
    found && FNR < found + most { present[FNR] = $0 }
    { present_count = FNR }
    END {
      if (!found && present_count != count) found = present_count + 1
      if (!found) { print "  the messages are equal"; exit }
      split(found in base ? base[found] : "- -", words, " ")
      printf "  message %d of %d (%d), at %s ms, %s:\n", found, count, present_count, words[1], words[2]
      for (n = found; n < found + most; ++n) {
        print "  < " (n in base ? substr(base[n], 1, 600) : "(end)")
        print "  > " (n in present ? substr(present[n], 1, 600) : "(end)")
      }
    }' "$cache/base.trace" "$cache/present.trace"
}

if [[ -n "$name" ]]; then
  first_difference "$name" "$name" "$messages_shown"
  echo "  traces: $cache/base.trace $cache/present.trace"
  exit 0
fi

if [[ ! -s "$base_digests" ]]; then
  build_base
  play "$base_program" "$base_digests"
fi
play "$program" "$digests"

# Tests of the same name are compared; a name that is gone is looked for by its digest among new ones.
compared="$(awk '
  NR == FNR { base[$1] = $2 " " $3; next }
  { present[$1] = $2 " " $3 }
  END {
    for (name in present) if (!(name in base)) fresh[present[name]] = name
    for (name in base) {
      if (name in present) { print (base[name] == present[name] ? "equal" : "differs"), name, name }
      else if (base[name] in fresh) { print "equal", name, fresh[base[name]] }
      else { print "missing", name, "-" }
    }
  }' "$base_digests" "$digests" | LC_ALL=C sort -k2)"
readonly compared
all="$(wc -l <<<"$compared")"
equal="$(grep -c '^equal' <<<"$compared" || true)"
shown=0
while read -r verdict old new; do
  [[ "$verdict" == equal ]] && continue
  echo "$verdict: $old"
  if [[ "$verdict" == differs ]] && ((shown < traces_shown)); then
    shown=$((shown + 1))
    first_difference "$old" "$new" 1
  fi
done <<<"$compared"
echo "$equal of $all digests equal"
[[ "$equal" == "$all" ]]
