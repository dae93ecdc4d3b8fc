"""Counts outcomes of attempts by the model version that the target had loaded."""

from fulmarward._instance import Instance
from fulmarward_core.placement import count_outcome
from fulmarward_core.results import Failure, ResultCode
from fulmarward_core.routing import TargetView

#: Failures caused by the target, not by the request or by overload.
_TARGET_FAULTS = frozenset(
    {
        ResultCode.TARGET_FAILED,
        ResultCode.TARGET_UNREACHABLE,
        ResultCode.STREAM_LOST,
        ResultCode.OUTCOME_UNKNOWN,
    }
)


def _count(
    instance: Instance, model: str, version: str, failure: Failure | None
) -> None:
    count_outcome(
        instance.outcomes,
        model,
        version,
        is_failure=failure is not None and failure.code in _TARGET_FAULTS,
        now=instance.read_clock(),
    )


def count_attempt(
    instance: Instance, view: TargetView, failure: Failure | None
) -> None:
    """Count a finished attempt under the version that its target had loaded."""
    if view.held is not None:
        state = view.held.state
        _count(instance, state.model, state.version, failure)


def count_chain(
    instance: Instance, model: str, version: str, failure: Failure | None
) -> None:
    """Count an attempt on a chain, whose stages all have the same version loaded."""
    _count(instance, model, version, failure)
