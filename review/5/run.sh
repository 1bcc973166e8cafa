#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: could not run. TROUBLE=0: no SIGTERM.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec timeout 115 "target/review/case-$(basename "$here")" "$here"
