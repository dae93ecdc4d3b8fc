"""The failure that reports why a request was not completed."""

from dataclasses import dataclass

from fulmarward_core.results._codes import CODES, ExecutionState, ResultCode


@dataclass(frozen=True, kw_only=True)
class Failure:
    """A rejected or failed request, as it is reported to the caller."""

    code: ResultCode
    #: Message for people: what was expected, what was found and where.
    message: str
    #: Delay before a retry, in milliseconds; `None` if a retry is pointless.
    retry_after_ms: int | None = None

    @property
    def ran(self) -> ExecutionState:
        """Whether the request was executed."""
        return CODES[self.code].ran


def make_failure(
    code: ResultCode, detail: str = "", *, retry_after_ms: int | None = None
) -> Failure:
    """Return a failure whose message is the meaning of `code` followed by `detail`."""
    meaning = CODES[code].meaning
    message = f"{meaning} {detail}" if detail else meaning
    return Failure(code=code, message=message, retry_after_ms=retry_after_ms)
