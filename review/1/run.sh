#!/bin/sh
# Workers crash while the items of a job begin there. TROUBLE=0 leaves the crash out.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/1/record.txt TROUBLE="${TROUBLE:-1}" exec review/bin/standins falsely-accused
