"""Outcome of a request as its caller saw it."""

from dataclasses import dataclass, field
from enum import StrEnum


class Outcome(StrEnum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    FAILED = "failed"
    COMPLETE = "complete"
    UNKNOWN = "unknown"
    #: The caller gave up without a final response, so nothing is claimed.
    GAVE_UP = "gave_up"


@dataclass(kw_only=True)
class WorkRecord:
    """One request and its reported outcome. The text of each request is unique."""

    #: Kind of request, for display.
    kind: str
    #: Digest of the prompt or body, as ledgers name it.
    work: str
    #: Whether it may be executed more than once.
    idempotent: bool
    #: The response of a correct execution; empty if it is not compared.
    expected: str
    outcome: Outcome = Outcome.GAVE_UP
    #: The response that was reported as complete.
    answer: str = ""
    #: Result number of a refusal or failure.
    result: int = 0
    #: Ids of the requests under which the caller's calls were answered.
    requests: list[str] = field(default_factory=list)
    #: Calls made.
    calls: int = 0
    #: The idempotency key, empty for none.
    key: str = ""
