#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: without the disruption.
root=$(cd "$(dirname "$0")/../.." && pwd)
[ -x "$root/target/review/memory" ] && [ -x "$root/target/release/bramblewharf" ] || { echo "not built"; exit 2; }
# In place of this shell, so that whoever ends the script ends all that it started.
exec "$root/target/review/memory" "$root" "$root/review/1"
