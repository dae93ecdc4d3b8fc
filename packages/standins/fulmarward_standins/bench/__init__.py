"""Benches: each is a module with `measure(*, seed) -> list[dict]`, a dict a row.

Rows give comparisons as ratios within the run, so that a busy machine moves both
sides. `scripts/bench NAME` runs one and prints a table.
"""
