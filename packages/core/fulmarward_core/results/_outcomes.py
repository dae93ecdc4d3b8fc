"""The outcome that says why something was not done."""

from dataclasses import dataclass

from fulmarward_core.results._codes import CODES, Ran, ResultCode


@dataclass(frozen=True, kw_only=True)
class Failure:
    """A refusal or failure, complete enough to be told to a caller."""

    #: The numbered result.
    code: ResultCode
    #: What was expected, found and where, for a person.
    message: str
    #: When to come back, in milliseconds; `None` when coming back is no use.
    retry_after_ms: int | None = None

    @property
    def ran(self) -> Ran:
        """Whether the request was executed."""
        return CODES[self.code].ran


def make_failure(
    code: ResultCode, detail: str = "", *, retry_after_ms: int | None = None
) -> Failure:
    """Return the failure of `code`, its message being the meaning and `detail`."""
    meaning = CODES[code].meaning
    message = f"{meaning} {detail}" if detail else meaning
    return Failure(code=code, message=message, retry_after_ms=retry_after_ms)
