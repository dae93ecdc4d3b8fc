"""What an accepted request is."""

import secrets
from dataclasses import dataclass

from fulmarward_core.configuration import Snapshot
from fulmarward_core.declaration import Pipeline, Urgency


def make_request_id() -> str:
    """Return a fresh request id: 80 random bits."""
    return secrets.token_hex(10)


@dataclass(frozen=True, kw_only=True)
class Work:
    """One accepted completion request."""

    #: Its id.
    request: str
    #: Name of the team.
    team: str
    #: The configuration it began with and keeps to its end.
    snapshot: Snapshot
    #: Name of the pipeline and its declaration.
    pipeline_name: str
    pipeline: Pipeline
    #: The prompt's text.
    prompt: str
    #: Most tokens of the answer.
    max_tokens: int
    #: How soon it is needed.
    urgency: Urgency
    #: Whether it may be executed more than once.
    idempotent: bool
    #: When the answer has to be over, seconds on the steady clock.
    deadline: float
