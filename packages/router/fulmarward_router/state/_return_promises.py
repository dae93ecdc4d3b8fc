"""Promises to rejected callers, which this instance and its peers keep."""

import math
import time
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from fulmarward.observability import log_event
from fulmarward_core.waits import (
    MAX_OPEN_PROMISES,
    Promise,
    PromiseCounts,
    PromisedReturn,
    PromiseKey,
    PromiseLedger,
    shorten_fingerprint,
)
from fulmarward_router.mesh import RedeemedPromise, ReturnPromise


class PromisedReturns:
    """Makes and redeems promises, and keeps them the same at all instances."""

    def __init__(
        self,
        *,
        source: str = "",
        read_clock: Callable[[], float] = time.monotonic,
        notify_peers: Callable[[], None] = lambda: None,
    ) -> None:
        #: Identifies this process, as `fulmarward_router.mesh.name_process`.
        self._source = source
        self._read_clock = read_clock
        #: Called when there are changes to send.
        self._notify_peers = notify_peers
        self._ledger = PromiseLedger(source=source)
        #: Changes that were not sent yet. The oldest are dropped beyond the bound.
        self._made: deque[Promise] = deque(maxlen=MAX_OPEN_PROMISES)
        self._redeemed: deque[PromiseKey] = deque(maxlen=MAX_OPEN_PROMISES)

    @property
    def counts(self) -> PromiseCounts:
        """The numbers of promises since the start of this instance."""
        return self._ledger.counts

    def promise(
        self,
        fingerprint: str,
        service: str,
        urgency: int,
        kv: float,
        *,
        return_s: float,
        request_id: str,
    ) -> bool:
        """Promise capacity to a caller that returns after some seconds.

        `fingerprint` is that of the whole request. Returns whether a promise was made:
        none is while too many are open.
        """
        now = self._read_clock()
        promise = self._ledger.promise(
            shorten_fingerprint(fingerprint),
            service,
            urgency,
            kv,
            due_at=now + return_s,
            now=now,
        )
        if promise is None:
            return False
        log_event(
            "return_promised",
            request=request_id,
            service=service,
            urgency=urgency,
            kv=kv,
            return_s=round(return_s, 3),
            number=promise.key.number,
        )
        self._made.append(promise)
        self._notify_peers()
        return True

    def find(self, fingerprint: str) -> PromisedReturn:
        """Return the promise for a request, and whether it may be redeemed now."""
        shortened = shorten_fingerprint(fingerprint)
        return self._ledger.find(shortened, now=self._read_clock())

    def redeem(self, fingerprint: str, *, request_id: str) -> Promise | None:
        """Close and return the promise for a request that gets capacity.

        Returns `None` if there is none.
        """
        now = self._read_clock()
        promise = self._ledger.redeem(shorten_fingerprint(fingerprint), now)
        if promise is None:
            return None
        log_event(
            "return_kept",
            request=request_id,
            service=promise.service,
            urgency=promise.urgency,
            source=promise.key.source,
            number=promise.key.number,
            late_s=round(now - promise.due_at, 3),
        )
        self._redeemed.append(promise.key)
        self._notify_peers()
        return promise

    def record_early(self, found: PromisedReturn, *, request_id: str) -> None:
        """Record that a request is rejected as its promise is not due yet."""
        self._ledger.record_early()
        key = None if found.promise is None else found.promise.key
        log_event(
            "return_early",
            request=request_id,
            source=None if key is None else key.source,
            number=None if key is None else key.number,
            left_s=round(found.left_s, 3),
        )

    def sum_kv(self, service: str, *, due_within_s: float) -> Mapping[int, float]:
        """Return by urgency the KV cache promised to callers due within some seconds.

        Infinity stands for all that is promised.
        """
        now = self._read_clock()
        return self._ledger.sum_kv(service, now=now, due_within_s=due_within_s)

    def take_changes(
        self, limit: int
    ) -> tuple[tuple[ReturnPromise, ...], tuple[RedeemedPromise, ...]]:
        """Return, for the peers, changes that were not sent yet, `limit` of each kind.

        A promise that expired meanwhile is left to the peers to ignore.
        """
        now = self._read_clock()
        made = [self._made.popleft() for _ in range(min(limit, len(self._made)))]
        count = min(limit, len(self._redeemed))
        redeemed = [self._redeemed.popleft() for _ in range(count)]
        return (
            tuple(self._make_report(promise, now) for promise in made),
            tuple(
                RedeemedPromise(source=self._shorten_source(key), number=key.number)
                for key in redeemed
            ),
        )

    def make_reports(self, limit: int) -> tuple[ReturnPromise, ...]:
        """Return, for a new peer, the open promises that are due first."""
        now = self._read_clock()
        promises = list(self._ledger.list_open(now=now))[:limit]
        return tuple(self._make_report(promise, now) for promise in promises)

    def merge(
        self,
        promises: Iterable[ReturnPromise],
        redeemed: Iterable[RedeemedPromise],
        *,
        source: str,
        delay_s: float,
    ) -> None:
        """Merge the changes of a peer's process, delayed in transit."""
        now = self._read_clock()
        sent_at = now - delay_s
        self._ledger.merge(
            (
                Promise(
                    key=PromiseKey(report.source or source, report.number),
                    fingerprint=report.fingerprint,
                    service=report.service,
                    urgency=report.urgency,
                    kv=float(report.kv),
                    due_at=sent_at + report.due_ms / 1000,
                )
                for report in promises
            ),
            now=now,
        )
        keys = [PromiseKey(item.source or source, item.number) for item in redeemed]
        self._ledger.merge_redeemed(keys, now=now)

    def _make_report(self, promise: Promise, now: float) -> ReturnPromise:
        return ReturnPromise(
            source=self._shorten_source(promise.key),
            number=promise.key.number,
            fingerprint=promise.fingerprint,
            service=promise.service,
            urgency=promise.urgency,
            kv=math.ceil(promise.kv),
            due_ms=math.floor((promise.due_at - now) * 1000),
        )

    def _shorten_source(self, key: PromiseKey) -> str:
        return "" if key.source == self._source else key.source
