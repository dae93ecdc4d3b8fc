"""Which events of a target belong to an answer."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from fulmarward_core.requests._events import EventBatch, StreamEvent
from fulmarward_core.results import Failure, Ran

#: What a request as a whole may say of itself after several attempts: a higher one
#: wins. One attempt that ran makes "not run" and "unknown" untrue for good.
_RAN_RANKS = {Ran.NOT_RUN: 0, Ran.UNKNOWN: 1, Ran.FAILED: 2, Ran.COMPLETE: 3}


def parse_events(
    items: Iterable[Mapping[str, Any]], *, request: str, attempt: int, next_number: int
) -> EventBatch:
    """Return the events of this attempt that continue the answer at `next_number`.

    Guards against late, doubled, swapped and foreign replies: an event counts only
    with this request's id, this attempt's number and exactly the next event number.
    """
    events = []
    dropped = 0
    for item in items:
        is_ours = (
            item.get("request") == request
            and item.get("attempt") == attempt
            and item.get("n") == next_number
        )
        if not is_ours:
            dropped += 1
            continue
        next_number += 1
        events.append(StreamEvent(item.get("text", ""), item.get("end", "")))
    return EventBatch(events=events, dropped=dropped)


def find_new_texts(
    known: Sequence[str], texts: Sequence[str], *, first: int
) -> list[str] | None:
    """Return which of an attempt's `texts` continue the answer that is `known`.

    `first` is the number of the attempt's texts before these. Guards against an
    answer sewn together from two different ones: a later attempt begins anew, and
    when one of its texts differs from what the caller may already have, the result
    is `None` and the answer cannot go on.
    """
    repeated = known[first : first + len(texts)]
    if list(repeated) != list(texts[: len(repeated)]):
        return None
    return list(texts[len(repeated) :])


def choose_failure(earlier: Failure | None, later: Failure) -> Failure:
    """Return the failure that is true of a request after both attempts.

    Guards against "not run" from the last of several attempts when an earlier one
    ran, or may have run.
    """
    if earlier is None or _RAN_RANKS[later.ran] >= _RAN_RANKS[earlier.ran]:
        return later
    return earlier
