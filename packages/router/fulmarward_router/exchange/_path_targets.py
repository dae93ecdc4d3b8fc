"""The targets of a request to an engine service that is answered as a whole."""

from dataclasses import replace

from fulmarward_core.fleet import EngineModel
from fulmarward_core.loads import Reservation
from fulmarward_core.paths import Hop, count_tokens_held
from fulmarward_router.exchange._context import ServiceContext
from fulmarward_router.exchange._engine_paths import EnginePaths
from fulmarward_router.exchange._request_state import (
    RejectedRequest,
    RequestState,
    Shortage,
)
from fulmarward_router.exchange._whole_responses import Placement, WholeResponses
from fulmarward_router.ports import AnswerFacts, TargetCall


class PathTargets:
    """The paths of one request; see `TargetChoice`.

    It holds capacity like a stream, but is not monitored like one: a target may be
    silent for as long as it takes.
    """

    def __init__(
        self,
        *,
        state: RequestState,
        engine: EngineModel,
        context: ServiceContext,
        paths: EnginePaths,
        responses: WholeResponses,
    ) -> None:
        self._state = state
        self._engine = engine
        self._context = context
        self._paths = paths
        self._responses = responses
        self._suspicions = context.suspicions
        self._wanted = replace(
            paths.make_request(state, engine),
            # Requests that generate nothing need much less time than the mean.
            has_unknown_length=not state.facts.max_answer_tokens,
        )
        #: Names of the first targets of its paths, and the targets that further paths
        #: avoid, as they may have run it or were not reached.
        self.tried: set[str] = set()
        self._avoided: set[str] = set()

    async def choose(self, *, is_last: bool) -> Placement | None:
        """Return a path with its reservation, waiting for capacity."""
        wanted = replace(self._wanted, avoided=frozenset(self._avoided))
        try:
            path, reservation = await self._paths.reserve(
                self._state, self._engine, wanted
            )
        except RejectedRequest as rejection:
            if is_last:
                return None
            if self._state.runs == 0:
                raise
            raise self._context.make_rejection(
                self._state,
                cause=rejection.cause,
                retry_after_s=rejection.retry_after_s or self.find_retry_after_s(),
            ) from rejection
        return self._place(path, reservation, key=id(self._state))

    async def choose_beside(self) -> Placement | None:
        """Return another path that has capacity now, and consume a retry."""
        if not self._responses.may_send_beside(self._state):
            return None
        key = object()
        wanted = replace(self._wanted, avoided=frozenset(self._avoided | self.tried))
        path = await self._paths.admission.try_path(
            self._state, self._engine, wanted, key=key, yields=True
        )
        if isinstance(path, Shortage):
            return None
        if not self.take_retry():
            self._context.teams.record_ended(key)
            return None
        tokens = count_tokens_held(wanted)
        return self._place(path, self._context.ledger.reserve(path, tokens), key=key)

    def _place(
        self, path: tuple[Hop, ...], reservation: Reservation, *, key: object
    ) -> Placement:
        first = path[0]
        self.tried.add(first.target)
        self._avoided.add(first.target)
        return Placement(
            target=first.target,
            address=first.address,
            records=self._context.catalogue.find_records(hop.target for hop in path),
            reservation=reservation,
            path=path,
            key=key,
        )

    def make_call(self, placement: Placement) -> TargetCall:
        """Return the call of an attempt."""
        state = self._state
        return TargetCall(
            target=placement.target,
            address=placement.address,
            team=None if state.team is None else state.team.name,
            deadline_s=state.deadline - self._context.read_clock(),
            urgency=state.urgency,
            path=placement.path,
            last_event=state.last_event,
        )

    def record_sent(self, placement: Placement) -> None:
        """Count and log that an attempt begins."""
        self._paths.record_chosen(self._state, self._wanted, placement.path)

    def take_retry(self) -> bool:
        """Consume a retry; some are left for streams that have begun."""
        return self._paths.take_unstarted_retry(self._state)

    def find_retry_after_s(self) -> float:
        """Return when a path may have capacity, in seconds."""
        return self._paths.admission.find_retry_after_s(
            self._state, self._engine, self._wanted
        )

    def release(self, placement: Placement) -> None:
        """Release the capacity of a path, and wake those that wait for it."""
        self._context.ledger.release(placement.reservation)
        self._context.teams.record_ended(placement.key)
        if placement.is_answered:
            placement.is_answered = False
            self._paths.record_released(self._state, self._engine, self._wanted)

    async def record_refused(
        self, placement: Placement, facts: AnswerFacts, *, status: int, sent_at: float
    ) -> None:
        """Record a refusal; the target may get the request again."""
        self._avoided.discard(placement.target)
        await self._paths.record_refusal(
            placement.path,
            self._engine,
            address_at_fault=facts.address_at_fault,
            status=status,
            sent_at=sent_at,
        )

    def record_success(self, placement: Placement) -> None:
        """Record a good answer for all targets of a path."""
        names = [hop.target for hop in placement.path]
        self._suspicions.refusals.record_accepted(names)
        for name in names:
            self._suspicions.record_success(name, now=self._context.read_clock())

    def record_failure(self, placement: Placement) -> None:
        """Charge the first target, which reports a failure, or has sent another's."""
        self._suspicions.record_error(placement.target, now=self._context.read_clock())

    def record_lost(self, placement: Placement, *, is_late: bool) -> None:
        """Charge a target that broke off its response; one that is late may compute."""
        if is_late:
            return
        replaced = self._context.list_replaced(placement)
        lost = self._paths.charge_broken(placement.path, replaced)
        if lost:
            self._avoided.discard(placement.target)
            self._avoided |= lost

    def record_hanging(self, target: str) -> None:
        """Charge nothing: probes find a target of a model that does not answer."""
