#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/foxshunt ] && [ -x "target/review/case-$(basename "$here")" ] || exit 2
timeout -k 1 118 "target/review/case-$(basename "$here")" "$here/record.txt"
code=$?
case $code in 0 | 1) ;; *) code=2 ;; esac
tail -n 40 "$here/record.txt" | grep -E 'BROKEN|HELD|tasks started' || true
exit "$code"
