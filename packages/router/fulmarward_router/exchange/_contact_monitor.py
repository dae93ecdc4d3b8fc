"""Finds out which services an instance reaches, and when it reaches them again."""

import asyncio
import math
import random
from collections.abc import Callable, Collection, Coroutine, Iterable

from fulmarward.observability import log_event
from fulmarward_core.catalogue import NamedTargets
from fulmarward_core.fleet import TargetRecord
from fulmarward_core.isolation import (
    SAMPLE_SIZE,
    ContactEvent,
    ContactTable,
    choose_sample,
)
from fulmarward_core.suspicion import SuspicionTable
from fulmarward_router.exchange._pause_meter import PauseMeter
from fulmarward_router.ports import TargetDialect

#: Seconds within which one target of a sample has to answer.
SAMPLE_TIMEOUT_S = 0.5

#: Seconds without an answer of a service after which one of its targets is probed: an
#: instance without requests would not notice that it is isolated. Longer in a large
#: fleet, where most instances have few requests.
IDLE_CHECK_S = 1.2
LARGE_IDLE_CHECK_S = 3.0

#: The same for an instance of a large fleet to which no callers are sent.
UNLISTED_IDLE_CHECK_S = 9.0

#: Seconds to wait for the answer to that probe before a sample is taken.
IDLE_CHECK_TIMEOUT_S = 0.35

#: Seconds after an answer in which an accepted connection counts as one as well: all
#: targets may be slow for a moment.
ACCEPTANCE_DURATION_S = 1.0

#: Seconds for which a sample of an unreached service goes on if the event loop was
#: blocked: an answer takes several turns of the loop.
PAUSED_SAMPLE_TIMEOUT_S = 2.0

#: Share of that time for which the event loop may have been blocked.
MAX_PAUSE_SHARE = 0.5

#: Seconds between two checks whether an unreached service answers again, and targets
#: probed in each.
CHECK_INTERVAL_S = 0.4
CHECK_SAMPLE_SIZE = 2


class ContactMonitor:
    """Keeps the contact table of an instance up to date.

    Guards against an isolated instance, which goes on to send requests to targets that
    cannot answer it, and would report all of them as failed.
    """

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        catalogue: NamedTargets,
        suspicions: SuspicionTable,
        contacts: ContactTable,
        read_clock: Callable[[], float],
        notify_peers: Callable[[], None],
        is_large: Callable[[], bool],
        is_listed: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_large = is_large
        #: Returns whether callers are sent to this instance.
        self._is_listed = is_listed
        self._dialect = dialect
        self._catalogue = catalogue
        self._suspicions = suspicions
        self._contacts = contacts
        self._read_clock = read_clock
        self._notify_peers = notify_peers
        #: Running samples and checks by service.
        self._samples: dict[str, asyncio.Task] = {}
        #: Rotates the sampled targets; instances start at different offsets.
        self._offset = random.randrange(1 << 16)

    def verify(self, services: Iterable[str]) -> None:
        """Start samples of services that may be unreached."""
        for service in services:
            if service not in self._samples and self._contacts.is_reached(service):
                self._start(service, self._sample(service, SAMPLE_SIZE))

    def _start(self, service: str, sampling: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(sampling)
        self._samples[service] = task
        task.add_done_callback(lambda _: self._samples.pop(service, None))

    async def wait(self, service: str, *, timeout_s: float) -> None:
        """Wait for the running sample of a service, if there is one."""
        task = self._samples.get(service)
        if task is not None:
            await asyncio.wait([task], timeout=timeout_s)

    def record_answers(self, records: Iterable[TargetRecord]) -> None:
        """Record that targets have answered new connections."""
        for service in {record.service for record in records}:
            self._apply(service, ContactEvent.ANSWER)

    def record_served_by_peer(self, service: str, *, peer: str) -> None:
        """Record that a peer has served a request that was relayed to it."""
        self._apply(service, ContactEvent.SERVED_BY_PEER, peer=peer)

    async def run(self) -> None:
        """Check services without recent answers, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check_idle()
            services = self._contacts.list_unreached()
            await asyncio.gather(
                *(self._sample(s, CHECK_SAMPLE_SIZE) for s in services)
            )

    async def check_all(self) -> None:
        """Find out which services this instance reaches, from which it has no answer.

        Guards against an instance that starts while it is isolated: its first callers
        would wait for targets that cannot be reached.
        """
        self._check_idle()
        if self._samples:
            await asyncio.wait(list(self._samples.values()))

    def _check_idle(self) -> None:
        """Start checks of the services that have not answered for a while."""
        now = self._read_clock()
        interval_s = IDLE_CHECK_S
        if self._is_large():
            is_listed = self._is_listed()
            interval_s = LARGE_IDLE_CHECK_S if is_listed else UNLISTED_IDLE_CHECK_S
        services = {record.service for record in self._catalogue.list_targets(now=now)}
        for service in services - self._samples.keys():
            is_idle = self._contacts.find_answer_age_s(service, now=now) >= interval_s
            if is_idle and self._contacts.is_reached(service):
                self._start(service, self._check(service))

    async def _check(self, service: str) -> None:
        """Probe one target of a service, and a sample if it does not answer."""
        # The first of a sample is the target that started last; the second rotates.
        for record in self._choose_sample(service, 2)[-1:]:
            if await self._dialect.is_responding(record, IDLE_CHECK_TIMEOUT_S):
                self._apply(service, ContactEvent.ANSWER)
                return
        await self._sample(service, SAMPLE_SIZE)

    async def _sample(self, service: str, count: int) -> None:
        """Probe some targets of a service and record whether any of them answers.

        Shortly after an answer it is enough that one accepts a connection, as all may
        be slow for a moment. Later it is not: what accepts may be something between.

        Nothing is concluded from a sample in which the event loop was blocked. Guards
        against an instance short of processor time, whose answers wait in its sockets.
        Those of an unreached service then go on: new ones would need as long again.
        """
        sample = self._choose_sample(service, count)
        if not sample:
            return
        answer_age_s = self._contacts.find_answer_age_s(service, now=self._read_clock())
        probes = [self._dialect.is_responding]
        if answer_age_s < ACCEPTANCE_DURATION_S:
            probes.append(self._dialect.is_accepting)
        names = [record.name for record in sample]
        timeouts_s = [SAMPLE_TIMEOUT_S]
        if not self._contacts.is_reached(service):
            timeouts_s.append(PAUSED_SAMPLE_TIMEOUT_S)
        answers = {
            asyncio.create_task(probe(record, sum(timeouts_s)))
            for record in sample
            for probe in probes
        }
        try:
            for timeout_s in timeouts_s:
                meter = PauseMeter()
                try:
                    has_answer = await _await_any(answers, timeout_s=timeout_s)
                finally:
                    paused_s = meter.stop()
                if has_answer:
                    self._apply(service, ContactEvent.ANSWER)
                    return
                if paused_s <= timeout_s * MAX_PAUSE_SHARE:
                    self._apply(service, ContactEvent.NO_ANSWER, probed=names)
                    return
                is_over = all(answer.done() for answer in answers)
                if is_over or self._contacts.is_reached(service):
                    return
        finally:
            for answer in answers:
                answer.cancel()

    def _choose_sample(self, service: str, count: int) -> list[TargetRecord]:
        now = self._read_clock()
        self._offset += 1
        records = self._list_records(service, now)
        return choose_sample(
            records,
            unreachable=frozenset(
                record.name
                for record in records
                if self._suspicions.is_unreachable(record.name, now=now)
            ),
            count=count,
            offset=self._offset,
        )

    def _list_records(self, service: str, now: float) -> list[TargetRecord]:
        records = self._catalogue.list_targets(now=now)
        return [record for record in records if record.service == service]

    def _apply(
        self,
        service: str,
        event: ContactEvent,
        *,
        probed: Collection[str] = (),
        peer: str | None = None,
    ) -> None:
        """Apply an observation, and log what it changes."""
        now = self._read_clock()
        answer_age_s = self._contacts.find_answer_age_s(service, now=now)
        known = self._contacts.list_unreached().get(service)
        was_isolated = self._contacts.is_isolated
        if not self._contacts.apply(service, event, now=now):
            return
        log_event(
            "service_contact_changed",
            service=service,
            contact=self._contacts.find(service).value,
            observed=event.value,
            probed=list(probed),
            peer=peer,
            unreached_for_s=None if known is None else round(now - known.since, 3),
            answered_s_ago=round(answer_age_s, 3)
            if math.isfinite(answer_age_s)
            else None,
        )
        if event is ContactEvent.ANSWER:
            # What was observed meanwhile was the isolation of this instance.
            names = [record.name for record in self._list_records(service, now)]
            self._suspicions.discard_direct(names)
        if self._contacts.is_isolated != was_isolated:
            self._notify_peers()


async def _await_any(answers: set[asyncio.Task[bool]], *, timeout_s: float) -> bool:
    """Return whether any of some probes is answered before a timeout."""
    loop = asyncio.get_running_loop()
    until = loop.time() + timeout_s
    pending = {answer for answer in answers if not answer.done()}
    while pending and loop.time() < until:
        done, pending = await asyncio.wait(
            pending,
            timeout=until - loop.time(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if any(answer.result() for answer in done):
            return True
    return False
