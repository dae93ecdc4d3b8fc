"""What waits and runs, by pool, and what is left of each team's share."""

import asyncio
from dataclasses import dataclass, field

from fulmarward_core.admission import (
    Bucket,
    DemandTable,
    FairQueue,
    Outputs,
    Refusal,
    Ticket,
)
from fulmarward_core.retries import RetryBudget


@dataclass(kw_only=True)
class Pool:
    """The engines of one model in the eyes of this instance."""

    #: Requests that wait for a place.
    queue: FairQueue = field(default_factory=FairQueue)
    #: Requests that hold a place, by id.
    running: dict[str, Ticket] = field(default_factory=dict)
    #: Where each waiting request hears of its turn: `None`, or why it has none.
    turns: dict[str, asyncio.Future[Refusal | None]] = field(default_factory=dict)
    #: Retries that may still be made.
    budget: RetryBudget = field(default_factory=RetryBudget)


@dataclass(kw_only=True)
class AdmissionState:
    """All pools and shares of one instance."""

    #: Pools by the name of their model.
    pools: dict[str, Pool] = field(default_factory=dict)
    #: What is left of each team's share here, by team.
    buckets: dict[str, Bucket] = field(default_factory=dict)
    #: Lengths of answers by pipeline.
    outputs: dict[str, Outputs] = field(default_factory=dict)
    #: What was asked for here and elsewhere.
    demand: DemandTable = field(default_factory=DemandTable)


def find_pool(state: AdmissionState, model: str) -> Pool:
    """Return the pool of a model, which is made when it is first asked for."""
    return state.pools.setdefault(model, Pool())
