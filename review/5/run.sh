#!/bin/sh
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/release/godwitspool-host ] || exit 2
exec target/review/stand line-ends review/5
