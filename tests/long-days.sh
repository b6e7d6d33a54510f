#!/usr/bin/env bash
# Plays long days of 1,260 machines in virtual time and prints what was served, then 900 small ones with quick crashes, and
# all moments of a refusal of the leader with an outage after it, and 3,000 days of these;
# a broken rule fails it. Outside CI.
# tests/long-days.sh [FIRST_SEED] [LAST_SEED] [SECONDS OF EACH DAY], after the build that README.md tells.
set -euo pipefail
cd "$(dirname "$0")/.."
LONG_DAYS="${1:-1} ${2:-10} ${3:-900}" exec target/tests/scenario_tests --gtest_also_run_disabled_tests \
  --gtest_filter='LargeDays.DISABLED_*:ManyQuickDays.*:RefusedAloneAtAllMoments.*:ManyRefusalDays.*'
