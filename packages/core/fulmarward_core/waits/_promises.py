"""Promises of capacity to rejected callers, which instances exchange.

Each promise has a key that is unique in the fleet. So equal requests of several callers
have a promise each, and messages may be repeated and arrive in any order.
"""

import math
from bisect import bisect_left, insort
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum, auto
from heapq import heappop, heappush
from typing import NamedTuple

from fulmarward_core.waits.decisions import MAX_RETURN_S

#: Bytes of the fingerprint of a request.
FINGERPRINT_BYTES = 8

#: Upper bound on the open promises, and on the redeemed ones that are remembered.
MAX_OPEN_PROMISES = 8192

#: Seconds before and after its due time for which a promise may be redeemed. Callers
#: round the delay, and their request needs time to arrive.
PROMISE_EARLY_S = 0.3
PROMISE_GRACE_S = 3.0

#: Seconds after its due time for which capacity is held for a promise. Otherwise
#: callers that give up would keep it from others for the whole of `PROMISE_GRACE_S`.
PROMISE_HOLD_S = 0.1


class PromiseKey(NamedTuple):
    """Identifies a promise in the fleet."""

    #: The process that made it: the name of an instance, and when it started.
    source: str
    #: Number of the promise there.
    number: int


@dataclass(frozen=True, kw_only=True)
class Promise:
    """Capacity for a rejected caller that returns at a certain time."""

    key: PromiseKey
    #: That of the whole request, as `shorten_fingerprint` returns it.
    fingerprint: bytes
    service: str
    urgency: int
    #: KV cache that the request needs, in tokens times layers.
    kv: float
    #: When the caller is expected to return, in seconds on the monotonic clock.
    due_at: float


#: What is kept of a promise in the order of due times: the due time, which comes first,
#: the key, the urgency and the KV cache. Sums of thousands of them need no look-ups.
_Entry = tuple[float, PromiseKey, int, float]


class ReturnStatus(Enum):
    """How the time of a request relates to the promise for it."""

    #: There is no promise for it.
    UNKNOWN = auto()
    #: It comes before its promise may be redeemed.
    EARLY = auto()
    #: Its promise may be redeemed.
    DUE = auto()


@dataclass(frozen=True, kw_only=True)
class PromisedReturn:
    """A request, compared to the open promises."""

    status: ReturnStatus
    #: The promise that is due first, `None` if there is none.
    promise: Promise | None = None
    #: Seconds until that is due, 0 if it has been due.
    left_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PromiseCounts:
    """Numbers of promises since the start of this instance."""

    #: Promises made here, and those of them that expired.
    made: int = 0
    expired: int = 0
    #: Rejections here that got none, as too many were open.
    declined: int = 0
    #: Promises redeemed here: when they were due, and before, as there was capacity.
    kept: int = 0
    unneeded: int = 0
    #: Requests rejected here as their promise was not due yet.
    early: int = 0


def shorten_fingerprint(fingerprint: str) -> bytes:
    """Return the first bytes of the digest in a request's fingerprint.

    The fingerprint is that of `fulmarward_core.poison.compute_fingerprint`. Raises
    `ValueError` for other text.
    """
    digest = fingerprint.rpartition("-")[2][: 2 * FINGERPRINT_BYTES]
    shortened = bytes.fromhex(digest)
    if len(shortened) != FINGERPRINT_BYTES:
        raise ValueError(f"expected the fingerprint of a request, found {fingerprint}")
    return shortened


class PromiseLedger:
    """The open promises of this instance and of its peers."""

    def __init__(self, *, source: str) -> None:
        #: Identifies this process in the keys of its promises.
        self._source = source
        self._number = 0
        self._open: dict[PromiseKey, Promise] = {}
        #: Open promises in the order of their due times, by fingerprint and service.
        self._by_fingerprint: defaultdict[bytes, list[_Entry]] = defaultdict(list)
        self._by_service: defaultdict[str, list[_Entry]] = defaultdict(list)
        #: Promises in the order in which they expire; some are not open any more.
        self._expiring: list[tuple[float, PromiseKey]] = []
        #: Redeemed promises, with the time until which they are remembered. Messages
        #: that arrive late would otherwise open them again.
        self._redeemed: OrderedDict[PromiseKey, float] = OrderedDict()
        self._counts = PromiseCounts()

    def __len__(self) -> int:
        return len(self._open)

    @property
    def counts(self) -> PromiseCounts:
        """The numbers of promises since the start."""
        return self._counts

    def promise(
        self,
        fingerprint: bytes,
        service: str,
        urgency: int,
        kv: float,
        *,
        due_at: float,
        now: float,
    ) -> Promise | None:
        """Make a promise; return `None` if as many are open as may be."""
        self._drop_old(now)
        if len(self._open) >= MAX_OPEN_PROMISES:
            self._count("declined")
            return None
        self._number += 1
        promise = Promise(
            key=PromiseKey(self._source, self._number),
            fingerprint=fingerprint,
            service=service,
            urgency=urgency,
            kv=kv,
            due_at=due_at,
        )
        self._add(promise)
        self._count("made")
        return promise

    def find(self, fingerprint: bytes, *, now: float) -> PromisedReturn:
        """Return the first promise for a request, and whether it may be redeemed."""
        self._drop_old(now)
        order = self._by_fingerprint.get(fingerprint)
        if not order:
            return PromisedReturn(status=ReturnStatus.UNKNOWN)
        promise = self._open[order[0][1]]
        is_due = _is_due(promise, now)
        return PromisedReturn(
            status=ReturnStatus.DUE if is_due else ReturnStatus.EARLY,
            promise=promise,
            left_s=max(0.0, promise.due_at - now),
        )

    def redeem(self, fingerprint: bytes, now: float) -> Promise | None:
        """Close and return the first promise for a request, `None` if there is none.

        One that is not due yet is closed too: the request was served without it.
        """
        promise = self.find(fingerprint, now=now).promise
        if promise is None:
            return None
        self._close(promise)
        self._remember(promise.key, now)
        self._count("kept" if _is_due(promise, now) else "unneeded")
        return promise

    def record_early(self) -> None:
        """Count a request that was rejected as its promise was not due yet."""
        self._count("early")

    def sum_kv(
        self, service: str, *, now: float, due_within_s: float
    ) -> Mapping[int, float]:
        """Return by urgency the KV cache promised to callers due within some seconds.

        It includes what was due in the last `PROMISE_HOLD_S` and not redeemed yet.
        """
        self._drop_old(now)
        return self.find_promised_before(
            service, at=now + due_within_s, since=now - PROMISE_HOLD_S
        )

    def find_promised_before(
        self, service: str, *, at: float, since: float = -math.inf
    ) -> Mapping[int, float]:
        """Return by urgency the KV cache promised to callers due until a time.

        Those that were due before `since` are left out.
        """
        sums: defaultdict[int, float] = defaultdict(float)
        order = self._by_service.get(service, [])
        begin = bisect_left(order, (since,))
        end = bisect_left(order, (math.nextafter(at, math.inf),))
        for _, _, urgency, kv in order[begin:end]:
            sums[urgency] += kv
        return dict(sums)

    def list_open(self, *, now: float) -> Iterator[Promise]:
        """Return the open promises in the order of their due times."""
        self._drop_old(now)
        order = sorted(self._open.values(), key=lambda promise: promise.due_at)
        return iter(order)

    def merge(self, promises: Iterable[Promise], *, now: float) -> int:
        """Add promises of peers; return how many are new.

        Expired, redeemed and invalid ones are ignored, and those beyond the bound.
        """
        self._drop_old(now)
        added = 0
        for promise in promises:
            is_known = promise.key in self._open or promise.key in self._redeemed
            has_room = len(self._open) < MAX_OPEN_PROMISES
            if has_room and not is_known and _is_valid(promise, now):
                self._add(promise)
                added += 1
        return added

    def merge_redeemed(self, keys: Iterable[PromiseKey], *, now: float) -> int:
        """Close promises that were redeemed at peers; return how many were open."""
        self._drop_old(now)
        closed = 0
        for key in keys:
            promise = self._open.get(key)
            if promise is not None:
                self._close(promise)
                closed += 1
            self._remember(key, now)
        return closed

    def _add(self, promise: Promise) -> None:
        entry = _make_entry(promise)
        self._open[promise.key] = promise
        insort(self._by_fingerprint[promise.fingerprint], entry)
        insort(self._by_service[promise.service], entry)
        heappush(self._expiring, (promise.due_at + PROMISE_GRACE_S, promise.key))

    def _close(self, promise: Promise) -> None:
        entry = _make_entry(promise)
        del self._open[promise.key]
        orders = [
            (self._by_fingerprint, promise.fingerprint),
            (self._by_service, promise.service),
        ]
        for by_name, name in orders:
            order = by_name[name]
            del order[bisect_left(order, entry)]
            if not order:
                del by_name[name]

    def _remember(self, key: PromiseKey, now: float) -> None:
        """Keep the key of a redeemed promise for as long as it could be open."""
        self._redeemed[key] = now + MAX_RETURN_S + PROMISE_GRACE_S
        self._redeemed.move_to_end(key)
        if len(self._redeemed) > MAX_OPEN_PROMISES:
            self._redeemed.popitem(last=False)

    def _drop_old(self, now: float) -> None:
        while self._expiring and self._expiring[0][0] < now:
            _, key = heappop(self._expiring)
            promise = self._open.get(key)
            if promise is None:
                continue
            self._close(promise)
            if key.source == self._source:
                self._count("expired")
        while self._redeemed and next(iter(self._redeemed.values())) < now:
            self._redeemed.popitem(last=False)

    def _count(self, name: str) -> None:
        self._counts = replace(self._counts, **{name: getattr(self._counts, name) + 1})


def _make_entry(promise: Promise) -> _Entry:
    return promise.due_at, promise.key, promise.urgency, promise.kv


def _is_due(promise: Promise, now: float) -> bool:
    return promise.due_at - PROMISE_EARLY_S <= now


def _is_valid(promise: Promise, now: float) -> bool:
    """Return whether a promise of a peer can have been made and has not expired.

    A NaN fails every comparison, so that such a promise never enters a sum.
    """
    return (
        len(promise.fingerprint) == FINGERPRINT_BYTES
        and promise.urgency >= 0
        and 0 <= promise.kv < math.inf
        and now - PROMISE_GRACE_S <= promise.due_at <= now + MAX_RETURN_S
    )
