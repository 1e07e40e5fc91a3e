#!/usr/bin/env bash
# With SyncReplicas 1, a primary crashes for 5 s while the platform does not answer the promote call; later all proxies are
# killed and start again (final fault). Exits with 1 if less than a quarter of the requests is served later than RecoverS after
# that, 0 if not, 2 if the case could not run.
# TROUBLE=0: without the crash, and with answers to the promote call.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
exec python3 case.py
