#!/bin/sh
# Exits with 1 if the rule was broken in one of two plays, 0 if it held in
# both, 2 if one couldn't run.  TROUBLE=0 leaves out the disruption.
export PYTHONDONTWRITEBYTECODE=1
cd "$(dirname "$0")" || exit 2
rm -f record.txt
python3 case.py entries
entries=$?
python3 case.py weights
weights=$?
if [ $entries -eq 2 ] || [ $weights -eq 2 ]; then
    exit 2
fi
[ $entries -eq 0 ] && [ $weights -eq 0 ]
