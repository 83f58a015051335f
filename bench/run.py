#!/usr/bin/env python3
"""Runs the benchmark programs of a build folder, and the scripts that measure
whole processes.

usage: run.py BUILD [NAME]    only those whose name contains NAME
"""
import pathlib
import subprocess
import sys


here = pathlib.Path(__file__).resolve().parent


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    part = sys.argv[2] if len(sys.argv) > 2 else ""
    programs = [p for p in sorted(build.glob("*_bench")) if part in p.name]
    scripts = [p for p in sorted(here.glob("*_path.py")) if part in p.name]
    if not programs and not scripts:
        sys.exit(f"no benchmark matches {part!r}")
    failed = []
    for program in programs:
        print(f"-- {program.name}", flush=True)
        if subprocess.run([program]).returncode != 0:
            failed.append(program.name)
    for script in scripts:
        print(f"-- {script.name}", flush=True)
        if subprocess.run([sys.executable, script, build]).returncode != 0:
            failed.append(script.name)
    if failed:
        sys.exit("failed: " + " ".join(failed))


main()
