"""Benchmarks: modules with `measure(*, seed) -> list[dict]`, one dict per row.

Comparisons are ratios of values from the same run, so that the load of the machine
affects both sides. `scripts/bench NAME` runs one benchmark and prints a table.
"""
