"""Conclusions that other instances draw from a witness's record."""

from collections.abc import Iterable, Sequence
from enum import StrEnum

from fulmarward_core.keys._types import (
    AttemptPlace,
    RecordState,
    WitnessRecord,
)
from fulmarward_core.results import ResultCode


class Conclusion(StrEnum):
    """Result of a key's takeover."""

    #: The request never ran and never will.
    NOT_RUN = "not_run"
    #: The answer can be resumed from a target's stream.
    RESUME = "resume"
    #: The record holds a copy of the answer.
    COPY = "copy"
    #: The request failed; the record holds the failure.
    FAILED = "failed"
    #: The request ran and its answer is no longer stored.
    ANSWER_EXPIRED = "spent"
    #: The outcome cannot be determined.
    UNKNOWN = "unknown"


def conclude_takeover(record: WitnessRecord | None) -> Conclusion:
    """Return the conclusion from the record of a key that was taken over."""
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
        return Conclusion.ANSWER_EXPIRED
    return Conclusion.UNKNOWN


#: A target's reply when a stream is closed that has not started there.
CLOSED_BEFORE_START = "closed_before_start"

_REPLIES_AFTER_START = ("cancelled", "ended")


def conclude_closing(
    record: WitnessRecord, replies: Sequence[str | None]
) -> ResultCode:
    """Return the result code of a request whose stream can no longer be read.

    `replies` holds the reply of each recorded attempt's target to closing its stream,
    `None` for no answer. A request counts as not run only if every target closed the
    name before it started and the record shows no start: an engine that has forgotten
    a stream that it ran also replies that it closed the name before the start.
    """
    if len(replies) != len(record.places):
        return ResultCode.OUTCOME_UNKNOWN
    if any(reply in _REPLIES_AFTER_START for reply in replies):
        return ResultCode.STREAM_LOST
    has_started = record.state not in (RecordState.RECORDED, RecordState.TAKEN)
    if has_started:
        return (
            ResultCode.ALREADY_RAN
            if record.state is RecordState.ENDED
            else ResultCode.STREAM_LOST
        )
    if all(reply == CLOSED_BEFORE_START for reply in replies):
        return ResultCode.KEY_CLOSED
    return ResultCode.OUTCOME_UNKNOWN


def list_closable(places: Iterable[AttemptPlace]) -> list[AttemptPlace]:
    """Return the attempts whose streams can be read or closed, latest first."""
    streams = [place for place in places if place.has_stream]
    return sorted(streams, key=lambda place: place.attempt, reverse=True)
