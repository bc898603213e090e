#!/bin/sh
# The operator adds a route that nobody uses, and some workers leave in order.
# TROUBLE=0 lets them stay. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/2/record.txt TROUBLE="${TROUBLE:-1}" exec review/bin/standins leaving-workers
