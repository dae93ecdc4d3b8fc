"""How far an attempt has come in writing an answer, on one target or on a chain."""

from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.requests._locate import make_locator
from fulmarward.requests._work import Work
from fulmarward_core.requests import find_new_texts
from fulmarward_core.streams import Stage, digest_texts

#: The end of an attempt whose first texts are not those that were sent.
DIFFERS = "differs"

#: The same for people.
DIFFERS_DETAIL = "A new attempt gave another answer than the part that was sent."


@dataclass(kw_only=True)
class AttemptProgress:
    """The state of one attempt."""

    #: Its number.
    number: int
    #: Where it runs.
    stages: tuple[Stage, ...]
    #: Texts of this attempt that have come.
    seen: int = 0
    #: Whether its locator was given to the answer.
    is_located: bool = False


def locate_answer(
    instance: Instance, work: Work, answer: Answer, attempt: AttemptProgress
) -> None:
    """Give the answer this attempt's locator once it has all that callers may have.

    Guards against event ids that name an attempt whose first events turn out to
    differ: until all of them are compared, ids name the attempt before.
    """
    if attempt.is_located or attempt.seen < len(answer.texts):
        return
    attempt.is_located = True
    answer.set_locator(make_locator(instance, work, attempt.number, attempt.stages))


def _settle_owed(answer: Answer, new: list[str], *, is_over: bool) -> bool:
    """Return whether the answer may go on with `new`, given what its caller has.

    Guards against an answer sewn together from two different ones when the texts that
    the caller has were lost with their instance and their engine: the digest in its
    event id has to be that of the texts which the new attempt gives.
    """
    if not answer.owed:
        return True
    texts = answer.texts + new
    if len(texts) < answer.owed:
        return not is_over
    is_same = digest_texts(texts[: answer.owed]) == answer.owed_digest
    answer.owed = 0
    return is_same


def take_texts(
    instance: Instance,
    work: Work,
    answer: Answer,
    attempt: AttemptProgress,
    texts: list[str],
    end: str,
) -> str | None:
    """Append an attempt's texts to the answer; return how it ended, if it did."""
    new = find_new_texts(answer.texts, texts, first=attempt.seen)
    attempt.seen += len(texts)
    if new is None or (end and attempt.seen < len(answer.texts)):
        return DIFFERS
    if not _settle_owed(answer, new, is_over=bool(end)):
        return DIFFERS
    locate_answer(instance, work, answer, attempt)
    if new:
        answer.add_texts(new)
    return end or None
