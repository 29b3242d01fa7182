#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
