#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. With TROUBLE=0 the disruption is left out.
exec node "$(dirname "$0")/case.mjs"
