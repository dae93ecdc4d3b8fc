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
    """Count an attempt that ended, by the version that its target held."""
    if view.held is not None:
        state = view.held.state
        _count(instance, state.model, state.version, failure)


def count_chain(
    instance: Instance, model: str, version: str, failure: Failure | None
) -> None:
    """Count an attempt on a chain, whose stages all hold one version."""
    _count(instance, model, version, failure)
