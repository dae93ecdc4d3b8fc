"""Counting what became of attempts, by the version that their target held."""

from fulmarward._instance import Instance
from fulmarward_core.placement import count_outcome
from fulmarward_core.results import Failure, ResultCode
from fulmarward_core.routing import TargetView

#: Failures that speak against a target and not against the request or the load.
_TARGET_FAULTS = frozenset(
    {
        ResultCode.TARGET_FAILED,
        ResultCode.TARGET_UNREACHABLE,
        ResultCode.STREAM_LOST,
        ResultCode.OUTCOME_UNKNOWN,
    }
)


def count_attempt(
    instance: Instance, view: TargetView, failure: Failure | None
) -> None:
    """Count an attempt that ended, by the version that its target held."""
    if view.held is None:
        return
    count_outcome(
        instance.outcomes,
        view.held.state.model,
        view.held.state.version,
        is_failure=failure is not None and failure.code in _TARGET_FAULTS,
        now=instance.read_clock(),
    )
