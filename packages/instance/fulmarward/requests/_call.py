"""Calls of plain services: choice of a replica, and retries where they are safe."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from fulmarward._instance import Instance
from fulmarward.answers import Answer
from fulmarward.observability import log_event
from fulmarward.requests._execute import (
    AVOID_TARGET_S,
    MAX_ATTEMPTS,
    ConfirmDispatch,
    confirm_always,
)
from fulmarward.targets import (
    ServiceAnswer,
    ServiceRefused,
    ServiceRequest,
    call_service,
)
from fulmarward_core.declaration import TargetKind
from fulmarward_core.keys import ResultCopy
from fulmarward_core.requests import choose_failure
from fulmarward_core.results import Failure, ResultCode, make_failure
from fulmarward_core.routing import Choice, TargetView, choose_target

#: Retry delay, in milliseconds, sent to the caller with a refusal.
RETRY_AFTER_MS = 1_000


@dataclass(frozen=True, kw_only=True)
class ServiceCall:
    """One accepted call of a plain service."""

    #: Request id.
    request: str
    #: Names of the team and of the service.
    team: str
    service: str
    #: HTTP method, path below the service and query string.
    method: str
    path: str
    query: str
    body: bytes
    content_type: str
    #: Whether it may be executed more than once.
    idempotent: bool
    #: When the answer is due, in seconds on the monotonic clock.
    deadline: float


@contextmanager
def track_call(instance: Instance, request: str, team: str) -> Iterator[None]:
    """Register a call as an open request, for which a graceful shutdown waits."""
    answer = instance.answers[request] = Answer(request=request, team=team)
    try:
        yield
    finally:
        if instance.answers.get(request) is answer:
            del instance.answers[request]


def _choose(instance: Instance, call: ServiceCall, attempt: int) -> Choice | None:
    choice = choose_target(
        candidates=[
            view
            for view in instance.views.values()
            if view.target.kind is TargetKind.SERVICE
            and view.target.serves == call.service
        ],
        data_centre=instance.settings.data_centre,
        now=instance.read_clock(),
        generator=instance.generator,
    )
    log_event(
        "routing_decided",
        request=call.request,
        attempt=attempt,
        team=call.team,
        service=call.service,
        chosen=choice.chosen.name if choice else None,
        runner_up=choice.runner_up if choice else None,
        reason=choice.reason if choice else "no_open_target",
    )
    return choice


async def run_call(
    instance: Instance, call: ServiceCall, confirm: ConfirmDispatch = confirm_always
) -> ResultCopy | Failure:
    """Execute a call, on up to three replicas if it is idempotent."""
    failure = None
    for attempt in range(1, MAX_ATTEMPTS + 1):
        choice = _choose(instance, call, attempt)
        if choice is None:
            none = make_failure(ResultCode.NO_TARGET, retry_after_ms=RETRY_AFTER_MS)
            return choose_failure(failure, none)
        refusal = await confirm(attempt, choice.chosen)
        if refusal is not None:
            return choose_failure(failure, refusal)
        outcome = await _call_replica(instance, call, attempt, choice.chosen)
        if isinstance(outcome, ResultCopy):
            return outcome
        failure = choose_failure(failure, outcome)
        is_late = instance.read_clock() >= call.deadline
        if is_late or not _may_retry(call, outcome):
            return failure
    return failure


async def _call_replica(
    instance: Instance, call: ServiceCall, attempt: int, view: TargetView
) -> ResultCopy | Failure:
    service_request = ServiceRequest(
        method=call.method,
        path=call.path,
        query=call.query,
        body=call.body,
        content_type=call.content_type,
        request=call.request,
        attempt=attempt,
        team=call.team,
    )
    remaining_s = call.deadline - instance.read_clock()
    if remaining_s <= 0:
        return make_failure(ResultCode.DEADLINE_TOO_NEAR)
    view.in_flight += 1
    try:
        outcome = await call_service(
            instance.session,
            view.target.address,
            service_request,
            connect_s=instance.settings.limits.connect_ms / 1000,
            timeout_s=remaining_s,
        )
    finally:
        view.in_flight -= 1
    if isinstance(outcome, ServiceAnswer):
        return ResultCopy(
            status=outcome.status,
            body=outcome.body,
            content_type=outcome.content_type,
        )
    view.avoided_until = instance.read_clock() + AVOID_TARGET_S
    if isinstance(outcome, ServiceRefused):
        return make_failure(
            ResultCode.TARGET_REFUSED, outcome.detail, retry_after_ms=RETRY_AFTER_MS
        )
    return make_failure(ResultCode.OUTCOME_UNKNOWN, outcome.detail)


def _may_retry(call: ServiceCall, failure: Failure) -> bool:
    """Return whether another replica may run the call.

    Prevents a second execution of a non-idempotent call whose reply was lost.
    """
    return failure.code is ResultCode.TARGET_REFUSED or call.idempotent
