"""Command line of the benchmarks: `scripts/bench NAME [--seed N] [--json]`."""

import importlib
import json
import os
import subprocess
import sys
from pathlib import Path

import fire

#: Modules of this package that are not benchmarks.
_NOT_BENCHMARKS = ("__init__", "__main__")


def _list_names() -> list[str]:
    names = [path.stem for path in Path(__file__).parent.glob("*.py")]
    return sorted(
        name
        for name in names
        if name not in _NOT_BENCHMARKS and not name.startswith("_")
    )


def _read_commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


def _describe_machine() -> str:
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return f"{os.cpu_count()} cores, {memory / 2**30:.0f} GiB"


def _print_table(rows: list[dict]) -> None:
    columns = list(dict.fromkeys(column for row in rows for column in row))
    cells = [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max(len(line[index]) for line in [columns, *cells])
        for index in range(len(columns))
    ]
    for line in [columns, *cells]:
        print(
            "  ".join(
                cell.ljust(width) for cell, width in zip(line, widths, strict=True)
            ).rstrip()
        )


def run(name: str, seed: int = 1, json_lines: bool = False) -> None:
    """Run the benchmark NAME; JSON_LINES prints one object per row."""
    if name not in _list_names():
        print(f"expected one of {', '.join(_list_names())}, found {name!r}")
        sys.exit(2)
    module = importlib.import_module(f"fulmarward_standins.bench.{name}")
    rows = module.measure(seed=seed)
    origin = {"commit": _read_commit(), "seed": seed, "machine": _describe_machine()}
    if json_lines:
        for row in rows:
            print(json.dumps({**origin, "bench": name, **row}))
        return
    print(", ".join(f"{key} {value}" for key, value in origin.items()))
    _print_table(rows)


if __name__ == "__main__":
    arguments = ["--json_lines" if word == "--json" else word for word in sys.argv[1:]]
    fire.Fire(run, command=arguments)
