#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review into target/review-2/, after the build of
# deploy/service.toml: the project's own stand-ins (tests/standins), the rig, and one program a file review/lab-2/case_*.cpp.
# Links the package libraries that the deploy build leaves in target/. Needs nothing beyond the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
if [ ! -x target/foxshunt ] || [ ! -f target/libfoxshunt_node.a ]; then
  echo "build-2: build the program first, with the command of deploy/service.toml" >&2
  exit 2
fi

modules="libcbor cpp-httplib spdlog fmt pugixml"
flags="-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -Isrc -Itests -Ireview/lab-2"
flags="$flags $(pkg-config --cflags $modules)"

objects=""
pids=""
for source in tests/standins/http_world.cpp tests/standins/state_store.cpp tests/standins/worker.cpp \
  tests/standins/traffic_recorder.cpp review/lab-2/rig.cpp review/lab-2/case_*.cpp; do
  object="$out/$(basename "$source" .cpp).o"
  case "$source" in */case_*) ;; *) objects="$objects $object" ;; esac
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "$object" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done

for case in "$out"/case_*.o; do
  name=$(basename "$case" .o)
  [ -f "review/lab-2/$name.cpp" ] || continue
  # shellcheck disable=SC2086
  g++ "$case" $objects -Wl,--start-group target/libfoxshunt_*.a -Wl,--end-group $(pkg-config --libs $modules) \
    -ldate-tz -lnova -lpthread -o "$out/${name//_/-}"
done
