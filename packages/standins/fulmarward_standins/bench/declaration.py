"""Size, load, hash and parse time, and memory of declarations, by number of targets."""

import json
import time
import tracemalloc

from fulmarward_core.declaration import hash_declaration, parse_declaration
from fulmarward_standins.bench._fit import fit_line

#: Numbers of targets; teams grow in proportion, up to 550 at 4,100 targets.
SIZES = (500, 1000, 2000, 4100)

#: Teams per target at the design size.
TEAMS_PER_TARGET = 550 / 4100

#: Data centres and models at the design size.
DATA_CENTRES, MODELS = 19, 4

#: Repetitions of each measurement; the fastest one counts.
ROUNDS = 3


def make_large_declaration(targets: int) -> dict:
    """Return a declaration with `targets` targets and proportionally many teams."""
    data_centres = [f"dc-{number}" for number in range(DATA_CENTRES)]
    models = [f"model-{number}" for number in range(MODELS)]
    pipelines = [f"pipeline-{number}" for number in range(4 * MODELS)]
    return {
        "data_centres": {
            name: {"region": f"region-{index % 7}"}
            for index, name in enumerate(data_centres)
        },
        "links": [
            {"between": [first, second], "latency_ms": 5, "mbit_per_s": 1000}
            for index, first in enumerate(data_centres)
            for second in data_centres[index + 1 :]
        ],
        "teams": {
            f"team-{number}": {
                "key_digests": [f"sha256:{number:064x}"],
                "tokens_per_s": 3600,
                "burst_tokens": 36000,
                "pipelines": pipelines[:6],
                "services": ["callsheet"],
            }
            for number in range(round(targets * TEAMS_PER_TARGET))
        },
        "models": {
            name: {"layers": 80, "versions": ["v1", "v2"], "serving": "v2"}
            for name in models
        },
        "pipelines": {
            name: {
                "model": models[index % MODELS],
                "deadline_ms": 30000,
                "idempotent": True,
                "max_output_tokens": 2048,
            }
            for index, name in enumerate(pipelines)
        },
        "services": {"callsheet": {"deadline_ms": 5000}},
        "targets": {
            f"target-{number}": {
                "address": f"10.{number % 19}.{number // 250}.{number % 250}:9000",
                "data_centre": data_centres[number % DATA_CENTRES],
                "kind": "engine",
                "serves": models[number % MODELS],
                "accelerator": f"kind-{number % 7}",
                "layers": [0, 80],
                "slots": 16,
                "tokens_per_s": 500,
                "checks_fencing": True,
            }
            for number in range(targets)
        },
    }


def _time_best(action) -> float:  # noqa: ANN001
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        action()
        best = min(best, time.process_time() - started)
    return best


def _measure_memory(value: dict) -> int:
    tracemalloc.start()
    declaration = parse_declaration(value)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if isinstance(declaration, tuple):
        raise AssertionError(f"expected a valid declaration, found {declaration[:3]}")
    return allocated


def _measure_row(targets: int) -> dict:
    value = make_large_declaration(targets)
    text = json.dumps(value, separators=(",", ":"))
    return {
        "targets": targets,
        "teams": len(value["teams"]),
        "KB": round(len(text) / 1024, 1),
        "load ms": round(_time_best(lambda: json.loads(text)) * 1000, 1),
        "hash ms": round(_time_best(lambda: hash_declaration(value)) * 1000, 1),
        "parse ms": round(_time_best(lambda: parse_declaration(value)) * 1000, 1),
        "memory KB": round(_measure_memory(value) / 1024),
    }


def measure(*, seed: int) -> list[dict]:
    """Return a row for each size, and the slopes per 1,000 targets."""
    rows = [_measure_row(targets) for targets in SIZES]
    slopes: dict = {"targets": "a 1000"}
    fits: dict = {"targets": "fit"}
    for column in ("KB", "load ms", "hash ms", "parse ms", "memory KB"):
        line = fit_line(SIZES, [row[column] for row in rows])
        slopes[column] = round(line.slope * 1000, 1)
        fits[column] = round(line.fit, 4)
    return [*rows, slopes, fits]
