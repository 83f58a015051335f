#!/usr/bin/env python3
"""Runs the benchmark programs of a build folder.

usage: run.py BUILD [NAME]    only programs whose name contains NAME
"""
import pathlib
import subprocess
import sys


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    part = sys.argv[2] if len(sys.argv) > 2 else ""
    programs = [p for p in sorted(build.glob("*_bench")) if part in p.name]
    if not programs:
        sys.exit(f"no benchmark matches {part!r}")
    failed = []
    for program in programs:
        print(f"-- {program.name}", flush=True)
        if subprocess.run([program]).returncode != 0:
            failed.append(program.name)
    if failed:
        sys.exit("failed: " + " ".join(failed))


main()
