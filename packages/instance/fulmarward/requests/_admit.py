"""Whether and when an accepted request may go to a target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from fulmarward._instance import Instance
from fulmarward.requests._work import Work
from fulmarward_core.results import Failure


@asynccontextmanager
async def admit_work(instance: Instance, work: Work) -> AsyncIterator[Failure | None]:
    """Wait for the request's turn and hold its place; gives the refusal, if any."""
    yield None
