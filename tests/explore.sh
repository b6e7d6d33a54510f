#!/usr/bin/env bash
# Explores orders for long: breadth first in every setup, then walks; the shortest order that breaks a rule is printed and
# fails it. Outside CI. With a build in target-seams (-DFOXSHUNT_SEAMS=ON) and `guards`, each guard is taken out in turn, and
# one line each tells where the fault was found.
# tests/explore.sh [STATES] [WALKS] [FIRST_SEED] | tests/explore.sh guards [STATES] [WALKS]
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ "${1:-}" != guards ]]; then
  exec target/tests/explore --all --depth 99 --states "${1:-300000}" --walks "${2:-50000}" --length 120 --seed "${3:-1}"
fi
sed -n 's/^ *Name{Guard::[a-z_]*, "\(.*\)"},$/\1/p' src/config/guards.h | while read -r guard; do
  told="$(target-seams/tests/explore --without "$guard" --depth 99 --states "${2:-20000}" --walks "${3:-2000}" --length 100 ||
    true)"
  echo "$guard: $(grep BREACH <<<"$told" || echo "not found")"
done
