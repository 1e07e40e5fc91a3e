#!/usr/bin/env bash
# Plays what stands before a landing on the users' bench, and compares the worth of each day with the last landed figures
# in bench/landed.json. Usage: scripts/bench_regression.sh BENCH KIT [--score|--hunt] [--jobs N] [--update]
#   BENCH: the bench program; KIT: the folder that holds the folders of site files.
#   --score, --hunt: only that part. --update: writes the figures of this run as the landed ones.
set -euo pipefail
cd "$(dirname "$0")/.."

# The regression runs: site file and days of its hunt, 40 or more, but 8 on sites of 60 hosts or more.
sites=(
    "further/kyklos-wheelhost.toml 42"
    "further-grown/kyklos-wheelhost-grown.toml 8"
    "large/stz-ljubljana-large.toml 8"
    "grown/stz-ljubljana-grown.toml 8"
    "grown/lssw-pressline-grown.toml 8"
)

usage() {
    sed -n '2,5s/^# //p' "$0" >&2
    exit 2
}

[ $# -ge 2 ] || usage
bench=$1 kit=$2
shift 2
part=all jobs=3 update=()
while [ $# -gt 0 ]; do
    case $1 in
    --score) part=score ;;
    --hunt) part=hunt ;;
    --jobs) jobs=${2:?--jobs takes a number} && shift ;;
    --update) update=(--update) ;;
    *) usage ;;
    esac
    shift
done
[ -x "$bench" ] || { echo "$bench is not a program" >&2; exit 2; }

# Prints what the bench says; false unless it says $1. The whole output is read: a pipe that closes early would end the bench.
play() {
    local expected=$1 output
    shift
    output=$("$bench" "$@" --jobs "$jobs" | tee /dev/stderr) && grep -q "$expected" <<<"$output"
}

commit=$(git rev-parse --short HEAD)
failed=0
for entry in "${sites[@]}"; do
    read -r site days <<<"$entry"
    [ -f "$kit/$site" ] || { echo "$kit/$site is missing" >&2; exit 2; }
    if [ "$part" != hunt ]; then
        play '^GATE passed' score "$kit/$site" --why "regression run of $commit" || failed=1
        # The newest entry of the journal is this run's.
        newest=$(ls -t journal/*.json | head -n 1)
        scripts/compare_worth.py bench/landed.json "$newest" "${update[@]}" || failed=1
    fi
    if [ "$part" != score ]; then
        play ' 0 with a rule broken' hunt "$kit/$site" --days "$days" --why "regression hunt of $commit" || failed=1
    fi
done
exit $failed
