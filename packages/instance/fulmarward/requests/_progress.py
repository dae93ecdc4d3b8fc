"""Progress of an attempt that writes an answer, on one target or on a chain."""

from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.requests._completion_request import CompletionRequest
from fulmarward.requests._locate import make_locator
from fulmarward_core.requests import find_new_texts
from fulmarward_core.streams import Stage, digest_texts

#: The end of an attempt whose texts differ from those already sent to the caller.
DIFFERS = "differs"

#: The failure message for `DIFFERS`.
DIFFERS_DETAIL = "A new attempt gave another answer than the part that was sent."


@dataclass(kw_only=True)
class AttemptProgress:
    """The state of one attempt."""

    number: int
    #: The target or the stages that run it.
    stages: tuple[Stage, ...]
    #: Number of texts received from this attempt.
    received: int = 0
    #: Whether its locator was set on the answer.
    is_located: bool = False


def publish_locator(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: AttemptProgress,
) -> None:
    """Set this attempt's locator on the answer once it covers the answer's texts.

    Prevents event ids that name an attempt whose first events turn out to differ:
    until all of them are compared, ids name the previous attempt.
    """
    if attempt.is_located or attempt.received < len(answer.texts):
        return
    attempt.is_located = True
    answer.set_locator(make_locator(instance, work, attempt.number, attempt.stages))


def _matches_expected(answer: Answer, new: list[str], *, is_over: bool) -> bool:
    """Return whether `new` may be appended, given the texts that the caller has.

    Prevents an answer that mixes two different ones when the caller's texts were lost
    with their instance and engine: the texts of the new attempt must have the digest
    in the caller's event id.
    """
    if not answer.expected_events:
        return True
    texts = answer.texts + new
    if len(texts) < answer.expected_events:
        return not is_over
    is_same = digest_texts(texts[: answer.expected_events]) == answer.expected_digest
    answer.expected_events = 0
    return is_same


def append_texts(
    instance: Instance,
    work: CompletionRequest,
    answer: Answer,
    attempt: AttemptProgress,
    texts: list[str],
    end: str,
) -> str | None:
    """Append an attempt's texts to the answer; return its end, or `None` before it."""
    new = find_new_texts(answer.texts, texts, first=attempt.received)
    attempt.received += len(texts)
    if new is None or (end and attempt.received < len(answer.texts)):
        return DIFFERS
    if not _matches_expected(answer, new, is_over=bool(end)):
        return DIFFERS
    publish_locator(instance, work, answer, attempt)
    if new:
        answer.add_texts(new)
    return end or None
