"""What follows for a caller from a witness's record."""

from collections.abc import Iterable, Sequence
from enum import StrEnum

from fulmarward_core.keys._types import (
    AttemptPlace,
    RecordState,
    WitnessRecord,
)
from fulmarward_core.results import ResultCode


class Conclusion(StrEnum):
    """What an instance that took a key over does."""

    #: The request never ran and never will.
    NOT_RUN = "not_run"
    #: The answer can be read from a target's stream.
    RESUME = "resume"
    #: The answer's copy is there.
    COPY = "copy"
    #: The request failed; the record says how.
    FAILED = "failed"
    #: The request ran and its answer is not kept.
    SPENT = "spent"
    #: Nobody can tell.
    UNKNOWN = "unknown"


def conclude_take(record: WitnessRecord | None) -> Conclusion:
    """Return what follows from a witness's record."""
    if record is None:
        return Conclusion.UNKNOWN
    if record.state is RecordState.CLOSED:
        return Conclusion.NOT_RUN
    if record.answer is not None:
        return Conclusion.COPY
    if record.failure is not None:
        return Conclusion.FAILED
    if any(place.has_stream for place in record.places):
        return Conclusion.RESUME
    if record.state is RecordState.ENDED:
        return Conclusion.SPENT
    return Conclusion.UNKNOWN


#: What targets answer when a stream is closed by its name.
CLOSED_BEFORE_START = "closed_before_start"

_RAN_REPLIES = ("cancelled", "ended")


def conclude_closing(
    record: WitnessRecord, replies: Sequence[str | None]
) -> ResultCode:
    """Return the truth about a request whose stream could not be read any more.

    `replies` holds what the target of each recorded attempt said when its stream was
    closed, `None` for no answer. "Not run" needs every one of them to have closed
    the name before it began, and no word that any began: an engine that was
    forgot closes the name of a stream that it ran.
    """
    if len(replies) != len(record.places):
        return ResultCode.OUTCOME_UNKNOWN
    if any(reply in _RAN_REPLIES for reply in replies):
        return ResultCode.STREAM_LOST
    has_begun = record.state not in (RecordState.RECORDED, RecordState.TAKEN)
    if has_begun:
        return (
            ResultCode.ALREADY_RAN
            if record.state is RecordState.ENDED
            else ResultCode.STREAM_LOST
        )
    if all(reply == CLOSED_BEFORE_START for reply in replies):
        return ResultCode.KEY_CLOSED
    return ResultCode.OUTCOME_UNKNOWN


def list_closable(places: Iterable[AttemptPlace]) -> list[AttemptPlace]:
    """Return the attempts that can be read or closed, the latest first."""
    streams = [place for place in places if place.has_stream]
    return sorted(streams, key=lambda place: place.attempt, reverse=True)
