"""The data of an accepted completion request."""

import secrets
from dataclasses import dataclass

from fulmarward_core.configuration import Snapshot
from fulmarward_core.declaration import Pipeline, Urgency


def make_request_id() -> str:
    """Return a new random request id of 80 bits."""
    return secrets.token_hex(10)


@dataclass(frozen=True, kw_only=True)
class CompletionRequest:
    """One accepted completion request."""

    #: Request id.
    request: str
    #: Name of the team.
    team: str
    #: The configuration at its start, which applies until its end.
    snapshot: Snapshot
    #: Name of the pipeline and its declaration.
    pipeline_name: str
    pipeline: Pipeline
    prompt: str
    #: Maximum number of tokens in the answer.
    max_tokens: int
    urgency: Urgency
    #: Whether it may be executed more than once.
    idempotent: bool
    #: When the answer must be complete, in seconds on the monotonic clock.
    deadline: float
