"""Plans of the instances and targets of a test fleet, and its declaration."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field

OPERATOR_TOKEN = "operator-token-1"
PEER_SECRET = "peer-secret-1"

#: The data centres of a fleet, as in the specification.
DATA_CENTRES = ("lx-alcantara", "lx-oriente", "lx-carnaxide")

#: Layers of the model that the stand-in engines hold.
MODEL_LAYERS = 24


@dataclass(kw_only=True)
class TargetPlan:
    """One target of a fleet."""

    name: str
    #: `engine` or `service`.
    kind: str = "engine"
    data_centre: str = DATA_CENTRES[0]
    #: The model or service that it serves.
    serves: str = "sardine"
    #: Range of layers held, the end exclusive.
    layers: tuple[int, int] = (0, MODEL_LAYERS)
    #: Requests that it runs concurrently.
    slots: int = 16
    #: Whether it refuses orders with an old fencing number.
    checks_fencing: bool = True
    #: Further settings of the stand-in.
    stand_in: dict = field(default_factory=dict)
    #: Set when the fleet starts.
    address: str = ""


@dataclass(kw_only=True)
class InstancePlan:
    """One instance of a fleet."""

    name: str
    data_centre: str
    #: Limits in its settings that differ from the defaults.
    limits: dict = field(default_factory=dict)
    #: Addresses, set when the fleet starts.
    caller_address: str = ""
    operator_address: str = ""
    peer_address: str = ""


def make_team_key(team: str) -> str:
    """Return the API key of a team, the same in every test."""
    return f"key-of-{team}"


def _digest(key: str) -> str:
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


def make_declaration(targets: Sequence[TargetPlan]) -> dict:
    """Return a declaration with two teams, four pipelines and one service."""
    pipelines = ["lookup", "summary", "rewrite", "chain"]
    team = {"tokens_per_s": 100_000, "burst_tokens": 200_000}
    return {
        "data_centres": {name: {"region": "lisbon"} for name in DATA_CENTRES},
        "links": [
            {"between": [first, second], "latency_ms": 0.2, "mbit_per_s": 10_000}
            for index, first in enumerate(DATA_CENTRES)
            for second in DATA_CENTRES[index + 1 :]
        ],
        "teams": {
            name: {
                "key_digests": [_digest(make_team_key(name))],
                "pipelines": pipelines,
                "services": ["callsheet"],
                **team,
            }
            for name in ("folha", "osservatorio")
        },
        "models": {
            name: {
                "layers": MODEL_LAYERS,
                "versions": ["v1", "v2"],
                "serving": "v1",
                "adapters": ["crew"],
            }
            for name in ("sardine", "anchovy")
        },
        "pipelines": {
            "lookup": _make_pipeline("sardine", "urgent", 20_000, True),
            "summary": _make_pipeline("sardine", "normal", 60_000, True),
            "rewrite": _make_pipeline("sardine", "normal", 60_000, False),
            "chain": _make_pipeline("anchovy", "normal", 60_000, True),
        },
        "services": {
            "callsheet": {
                "deadline_ms": 20_000,
                "calls": [
                    {"method": "GET", "path": "/*", "idempotent": True},
                    {"method": "POST", "path": "/moves", "idempotent": False},
                ],
            }
        },
        "targets": {target.name: _declare_target(target) for target in targets},
    }


def _make_pipeline(
    model: str, urgency: str, deadline_ms: int, idempotent: bool
) -> dict:
    return {
        "model": model,
        "urgency": urgency,
        "deadline_ms": deadline_ms,
        "idempotent": idempotent,
        "max_output_tokens": 4_096,
    }


def _declare_target(target: TargetPlan) -> dict:
    members = {
        "address": target.address,
        "data_centre": target.data_centre,
        "kind": target.kind,
        "serves": target.serves,
        "slots": target.slots,
    }
    if target.kind == "engine":
        members |= {
            "accelerator": "a100",
            "layers": list(target.layers),
            "tokens_per_s": 1_000,
            "checks_fencing": target.checks_fencing,
        }
    return members
