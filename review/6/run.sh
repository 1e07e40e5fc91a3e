#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
source "$(dirname "${BASH_SOURCE[0]}")/../standins-2/fleet.sh"
run_case review/6 7
