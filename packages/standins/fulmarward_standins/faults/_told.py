"""What a caller was told of one piece of work."""

from dataclasses import dataclass, field
from enum import StrEnum


class Ending(StrEnum):
    """How a piece of work ended for its caller."""

    WHOLE = "whole"
    NOT_RUN = "not_run"
    FAILED = "failed"
    COMPLETE = "complete"
    UNKNOWN = "unknown"
    #: The caller gave up without a last answer; nothing is claimed to it.
    GAVE_UP = "gave_up"


@dataclass(kw_only=True)
class Told:
    """One piece of work and what its caller was told. Each work is unique."""

    #: What kind of work it is, for people.
    kind: str
    #: Digest of the prompt or body, as ledgers name it.
    work: str
    #: Whether it may be executed more than once.
    idempotent: bool
    #: The answer that a right execution gives; empty where it is not compared.
    expected: str
    #: How it ended.
    ending: Ending = Ending.GAVE_UP
    #: The answer that was told as whole.
    answer: str = ""
    #: Result number of a refusal or failure.
    result: int = 0
    #: Ids of the requests under which the caller's calls were answered.
    requests: list[str] = field(default_factory=list)
    #: Calls made.
    calls: int = 0
    #: The idempotency key, empty for none.
    key: str = ""
