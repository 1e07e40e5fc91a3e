#!/usr/bin/env bash
# Names of the users' platform may stand in its adapter (platform/), in the emulator that speaks its protocol, and in
# tests. Anywhere else they are an error.
set -euo pipefail
cd "$(dirname "$0")/.."
names='SettleWindowMs|MaxStalenessMs|TxIdleMs|ColdLeftMs|DbRole|TargetLatencyMs|MaxConns|SyncReplicas|AsOf|\bWaitMs\b|AllowStale'
names+='|\bGraceS\b|X-Fencing-Token|X-Lease-Holder|X-Instance-Id|CloudApi|KUMQUATBANK_BOOT|ReadinessAddr|PortRange'
names+='|READONLY|LAGGING|MISROUTED|INDOUBT|TOOMANY|NOSTMT|NODB|TOOBIG|DEALLOC|/promote'
found=$(git grep -nE "$names" -- '*.cpp' '*.h' ':!platform' ':!tools/emulator' ':!*/tests/*' || true)
if [ -n "$found" ]; then
    echo "names of the platform outside platform/:" >&2
    echo "$found" >&2
    exit 1
fi
