"""Queued and running requests by pool, and the token buckets of teams."""

import asyncio
from dataclasses import dataclass, field

from fulmarward_core.admission import (
    Bucket,
    DemandTable,
    FairQueue,
    OutputLengths,
    Refusal,
    Ticket,
)
from fulmarward_core.retries import RetryBudget


@dataclass(kw_only=True)
class Pool:
    """Admission state of the engines of one model, as seen by this instance."""

    #: Requests that wait for a place.
    queue: FairQueue = field(default_factory=FairQueue)
    #: Requests that hold a place, by id.
    running: dict[str, Ticket] = field(default_factory=dict)
    #: By request id, completed with `None` on admission or with the refusal.
    admission_futures: dict[str, asyncio.Future[Refusal | None]] = field(
        default_factory=dict
    )
    #: The retry budget of the pool.
    budget: RetryBudget = field(default_factory=RetryBudget)


@dataclass(kw_only=True)
class AdmissionState:
    """Admission state of all pools and teams of one instance."""

    #: Pools by model name.
    pools: dict[str, Pool] = field(default_factory=dict)
    #: Token buckets of this instance by team.
    buckets: dict[str, Bucket] = field(default_factory=dict)
    #: Statistics of answer lengths by pipeline.
    outputs: dict[str, OutputLengths] = field(default_factory=dict)
    #: Demand at this instance and at others.
    demand: DemandTable = field(default_factory=DemandTable)


def find_pool(state: AdmissionState, model: str) -> Pool:
    """Return the pool of a model, creating it on first use."""
    return state.pools.setdefault(model, Pool())
