#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" && exec timeout 120 python3 case.py
