#!/usr/bin/env python3
"""Prints the worth of a score's days beside the last landed figures.

Usage: compare_worth.py LANDED ENTRY [--update]
LANDED: JSON file, site -> {"commit": text, "days": {day: worth}}. ENTRY: the bench's journal entry of a score.
Ends with 1 if the mean worth of the days is lower by more than the bench's own noise. --update: writes ENTRY's figures to
LANDED.
"""
import json
import sys

# The bench calls a change of a site's score under this figure noise.
NOISE = 0.03


def main(arguments):
    update = "--update" in arguments
    files = [argument for argument in arguments if argument != "--update"]
    if len(files) != 2:
        print(__doc__, file=sys.stderr)
        return 2
    with open(files[0], encoding="utf-8") as file:
        landed = json.load(file)
    with open(files[1], encoding="utf-8") as file:
        entry = json.load(file)
    if entry["cmd"] != "score" or not entry["ok"]:
        print(f"{files[1]}: not a finished score", file=sys.stderr)
        return 2
    site = entry["site"]
    # A day that was drawn just now has no earlier figure.
    worth = {day["name"]: day["G"] for day in entry["days"] if not day["name"].startswith("fresh")}
    commit = entry["head"][:7] + (" with changes" if entry["dirty"] else "")
    before = landed.get(site, {"commit": "none", "days": {}})
    common = [day for day in worth if day in before["days"]]
    print(f"{site}: worth on {before['commit']} and on {commit}")
    for day, now in worth.items():
        was = before["days"].get(day)
        print(f"  {day:12} {'-' if was is None else f'{was:.3f}':>6} {now:.3f}")
    difference = sum(worth[day] - before["days"][day] for day in common) / len(common) if common else 0.0
    print(f"  mean difference {difference:+.3f}, noise {NOISE}")
    if update:
        landed[site] = {"commit": commit, "days": {day: round(now, 4) for day, now in worth.items()}}
        with open(files[0], "w", encoding="utf-8") as file:
            json.dump(landed, file, indent=2, sort_keys=True)
            file.write("\n")
    return 1 if difference < -NOISE else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
