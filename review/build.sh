#!/usr/bin/env bash
# Builds the stand-ins that the cases start: review/lab, with the project's own worker stand-in and its wire and net
# packages, and each case's program. Needs what deploy/service.toml needs, no more. Output: target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags="-std=c++20 -O1 -Isrc -Itests -Ireview/lab $(pkg-config --cflags cpp-httplib libcbor spdlog)"
libs="$(pkg-config --libs cpp-httplib libcbor spdlog) -lfmt -lpthread"
sources="src/wire/messages.cpp src/wire/value.cpp src/net/http.cpp src/net/socket.cpp tests/standins/worker.cpp review/lab/lab.cpp"
objects=""
pids=""
for source in $sources review/[0-9]*/*.cpp; do
  [ -e "$source" ] || continue
  object="$out/$(echo "${source%.cpp}" | tr / _).o"
  case "$source" in review/[0-9]*) ;; *) objects="$objects $object" ;; esac
  if [ ! -e "$object" ] || [ "$source" -nt "$object" ] || [ review/lab/lab.h -nt "$object" ]; then
    # shellcheck disable=SC2086
    g++ $flags -c "$source" -o "$object" &
    pids="$pids $!"
  fi
done
for pid in $pids; do wait "$pid"; done
for source in review/[0-9]*/*.cpp; do
  [ -e "$source" ] || continue
  # shellcheck disable=SC2086
  g++ "$out/$(echo "${source%.cpp}" | tr / _).o" $objects $libs -o "$out/case-$(basename "$(dirname "$source")")"
done
