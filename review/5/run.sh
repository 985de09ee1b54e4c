#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case5 ] && [ -x target/bin/chicorydockd ] || exit 2
exec review/bin/case5 review/5
