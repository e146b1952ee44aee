#!/usr/bin/env python3
"""Runs benchmark days with each decision mechanism switched off in turn and prints the change of the score.

    tools/ablation.py --bench PROGRAM --tree SCRATCH_CLONE --seeds 11-13 SITE...

PROGRAM simulates one day: `PROGRAM run SITE DAY --seed N --no-cpu --report FILE` writes the score of the day as `G`.
The tree is a writable clone of this repository: its settings template is changed for each mechanism and restored.
Differences are paired by day and seed; each mean is followed by its standard error.
"""
import argparse
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess
import tempfile

MECHANISMS = re.compile(r'\{"(\w+)", &mechanisms::')


def names_of(tree):
    return MECHANISMS.findall((tree / "src/base/mechanisms.cpp").read_text())


def days_of(site):
    names = re.findall(r'\[\[day\]\]\nname = "([^"]+)"', pathlib.Path(site).read_text())
    return [name for name in names if not name.startswith("quiet")]


def play(bench, tree, site, day, seed):
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--report", report.name]
        subprocess.run(command, cwd=tree, stdout=subprocess.DEVNULL, check=True)
        return json.loads(pathlib.Path(report.name).read_text())["G"]


def play_all(options, site):
    plays = [(day, seed) for day in days_of(site) for seed in options.seeds]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        worth = pool.map(lambda p: play(options.bench, options.tree, site, *p), plays)
        return list(worth)


def seed_range(text):
    first, last = text.split("-")
    return range(int(first), int(last) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--tree", type=pathlib.Path, required=True)
    parser.add_argument("--seeds", type=seed_range, default=seed_range("11-13"))
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("sites", nargs="+")
    options = parser.parse_args()
    template = options.tree / "deploy/settings.template"
    original = template.read_text()
    try:
        whole = {site: play_all(options, site) for site in options.sites}
        for name in names_of(options.tree):
            template.write_text(original + f"--without={name}\n")
            for site in options.sites:
                pairs = zip(play_all(options, site), whole[site])
                differences = [without - with_it for without, with_it in pairs]
                error = statistics.stdev(differences) / len(differences) ** 0.5
                mean = statistics.mean(differences)
                print(f"{name:20} {pathlib.Path(site).stem:24} {mean:+.4f} +- {error:.4f}", flush=True)
    finally:
        template.write_text(original)


if __name__ == "__main__":
    main()
