#!/usr/bin/env python3
"""Tells from gateway logs which requests were not answered, when and why.

Reads log lines of celerybeam-gateway from files or standard input, with
anything before the JSON of a line, and prints three tables:

  outcomes      requests by pool and outcome: how many, median time until the
                answer, and medians of what the decision saw (wait expected
                here and away, limit, time to return);
  seconds       refused and failed requests of each span of seconds, by outcome;
  forecasts     of requests that waited: expected against real time to the first
                output, by pool, as quantiles of real over expected.
"""
import argparse
import collections
import json
import re
import statistics
import sys
from datetime import datetime


def records(files):
    for file in files:
        with (sys.stdin if file == "-" else open(file, errors="replace")) as lines:
            for line in lines:
                start = line.find("{")
                if start < 0 or '"Request ended."' not in line:
                    continue
                try:
                    record = json.loads(line[start:])
                except ValueError:
                    continue  # cut off at a limit of the collector
                record["at"] = datetime.fromisoformat(
                    record["time"].replace("Z", "+00:00")).timestamp()
                yield record


def median(values):
    values = [v for v in values if v is not None]
    return f"{statistics.median(values):.0f}" if values else "-"


def print_outcomes(all_records):
    groups = collections.defaultdict(list)
    for r in all_records:
        groups[r["pool"], r["outcome"], bool(r.get("from_host"))].append(r)
    print(f"{'pool':12} {'outcome':26} {'from':6} {'count':>7} {'total_ms':>9} "
          f"{'here_ms':>8} {'away_ms':>8} {'limit_ms':>9} {'retry_ms':>9}")
    for (pool, outcome, forwarded), rows in sorted(groups.items()):
        cells = [median([r.get(k) for r in rows]) for k in
                 ("total_ms", "here_ms", "away_ms", "limit_ms", "retry_after_ms")]
        print(f"{pool:12} {outcome:26} {'host' if forwarded else 'caller':6} "
              f"{len(rows):7} {cells[0]:>9} {cells[1]:>8} {cells[2]:>8} "
              f"{cells[3]:>9} {cells[4]:>9}")


def print_seconds(all_records, span):
    first = min(r["at"] for r in all_records)
    rows = collections.defaultdict(collections.Counter)
    for r in all_records:
        if r.get("from_host"):
            continue
        at = int((r["at"] - first) // span) * span
        rows[at]["all"] += 1
        if r["outcome"] != "answered":
            rows[at][r["pool"][:8] + ":" + r["outcome"]] += 1
    print(f"\n{'from second':>11} {'all':>6}  not answered")
    for at, counts in sorted(rows.items()):
        rest = " ".join(f"{k}={n}" for k, n in counts.most_common() if k != "all")
        print(f"{at:11.0f} {counts['all']:6}  {rest}")


def print_forecasts(all_records):
    ratios = collections.defaultdict(list)
    for r in all_records:
        expected = re.search(r"^held expected_ms=(\d+)", r.get("attempts", ""))
        if expected and r.get("first_ms") and int(expected[1]) > 0:
            ratios[r["pool"]].append(r["first_ms"] / int(expected[1]))
    print("\nfirst output of requests that waited, over what was expected")
    for pool, values in sorted(ratios.items()):
        values.sort()
        cut = [values[int(q * (len(values) - 1))] for q in (0.1, 0.5, 0.9)]
        print(f"{pool:12} {len(values):6} requests  p10 {cut[0]:.2f}  "
              f"p50 {cut[1]:.2f}  p90 {cut[2]:.2f}")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("files", nargs="*", default=["-"])
    parser.add_argument("--span", type=float, default=2, help="seconds a row")
    options = parser.parse_args()
    found = list(records(options.files))
    if not found:
        sys.exit("No line tells of a request that ended: give logs of celerybeam-gateway.")
    print_outcomes(found)
    print_seconds(found, options.span)
    print_forecasts(found)


if __name__ == "__main__":
    main()
