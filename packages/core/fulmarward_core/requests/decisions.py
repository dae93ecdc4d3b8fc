"""Assembly of an answer and its outcome from several attempts."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from fulmarward_core.requests._events import EventBatch, StreamEvent
from fulmarward_core.results import ExecutionState, Failure

#: Precedence of outcomes when several attempts are combined; the highest applies. Once
#: one attempt has run, "not run" and "unknown" are false for the request.
_RAN_PRECEDENCE = {
    ExecutionState.NOT_RUN: 0,
    ExecutionState.UNKNOWN: 1,
    ExecutionState.FAILED: 2,
    ExecutionState.COMPLETE: 3,
}


def parse_events(
    items: Iterable[Mapping[str, Any]], *, request: str, attempt: int, next_number: int
) -> EventBatch:
    """Return the events of this attempt that continue the answer at `next_number`.

    Late, duplicate, reordered and foreign events are dropped: an event is accepted only
    with this request's id, this attempt's number and exactly the next event number.
    """
    events = []
    dropped = 0
    for item in items:
        is_expected = (
            item.get("request") == request
            and item.get("attempt") == attempt
            and item.get("n") == next_number
        )
        if not is_expected:
            dropped += 1
            continue
        next_number += 1
        events.append(StreamEvent(item.get("text", ""), item.get("end", "")))
    return EventBatch(events=events, dropped=dropped)


def find_new_texts(
    known: Sequence[str], texts: Sequence[str], *, first: int
) -> list[str] | None:
    """Return those of an attempt's `texts` that continue the answer `known`.

    `first` is the number of the attempt's texts before these. A later attempt starts
    again from the beginning. If one of its texts differs from what the caller may have
    received, the result is `None` and the answer cannot continue, so that no answer
    mixes two different ones.
    """
    repeated = known[first : first + len(texts)]
    if list(repeated) != list(texts[: len(repeated)]):
        return None
    return list(texts[len(repeated) :])


def choose_failure(earlier: Failure | None, later: Failure) -> Failure:
    """Return the failure that holds for a request after both attempts.

    Guards against reporting "not run" from the last attempt when an earlier one ran or
    may have run.
    """
    if earlier is None or _RAN_PRECEDENCE[later.ran] >= _RAN_PRECEDENCE[earlier.ran]:
        return later
    return earlier
