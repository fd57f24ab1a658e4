#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; see claim.txt.
# TROUBLE=0: the same without the disruption. KEEP=1: keeps the logs of the processes.
python3 -c "import tomllib" 2>/dev/null || { echo "needs Python 3.11"; exit 2; }
exec python3 -B "$(dirname "$0")/case.py"
