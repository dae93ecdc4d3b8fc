"""Temporary exclusion of targets, based on direct and indirect observations."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from fulmarward_core.suspicion._refusals import RefusalTable

#: Seconds for which a target that did not answer is excluded. Doubled with each
#: repetition, up to the maximum.
SUSPECT_DURATION_S = 2.0
MAX_SUSPECT_DURATION_S = 8.0

#: Seconds before a target that did not answer is probed again, and the factor by which
#: each further pause is longer, up to the maximum.
FIRST_PROBE_PAUSE_S = 0.3
_PROBE_PAUSE_GROWTH = 1.6
MAX_PROBE_PAUSE_S = 1.2

#: Seconds after an answer in which peers' reports of a target are ignored: the peers
#: that learn of the answer no longer send them after a heartbeat interval.
_REGAINED_HOLD_S = 0.8

#: Seconds for which a target that rejected a request for lack of capacity is excluded.
#: Some of its running requests complete in that time.
SATURATED_DURATION_S = 0.4

#: The exclusion doubles up to this many seconds while a target keeps rejecting. It
#: starts over if no rejection follows within `_SATURATED_RESET_S` after its end. Guards
#: against targets that leave during an outage of the store: every request would try
#: several of them and run out of attempts.
MAX_SATURATED_DURATION_S = 3.2
_SATURATED_RESET_S = 2.0

#: Seconds for which a target is excluded after consecutive errors.
FAILING_DURATION_S = 3.0

#: Consecutive errors after which a target is excluded. A single one may be chance.
MAX_ERRORS = 2

#: Share of a service's targets that may be excluded. If more targets seem to fail, the
#: cause is more likely this instance or its own link.
MAX_SUSPECTED_SHARE = 0.5

#: Reasons for which this instance itself found a target unreachable. `address` means
#: that another target answers at the address.
_DIRECT = frozenset({"unreachable", "confirmed", "address"})
_INDIRECT = "indirect"

#: Reasons for which this instance has probed a target itself, and may do so again.
_PROBED = frozenset({"unreachable", "confirmed"})

#: All reasons of suspicions.
SUSPICION_REASONS = (*sorted(_DIRECT), "failing", _INDIRECT, "saturated")


class FailureKind(Enum):
    """How a target was found unreachable."""

    #: It did not answer a probe of this instance in time.
    SILENT = "silent"
    #: Another target waits for it.
    STALLED = "stalled"
    #: It refused a connection or broke it off.
    CLOSED = "closed"


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """Why and until when a target is excluded from new work."""

    #: Name of the target.
    target: str
    #: End of the exclusion, in seconds on the monotonic clock.
    until: float
    #: Duration of the last exclusion in seconds.
    lasted_s: float
    #: Start of the suspicion; for a failure observed here, its latest observation.
    since: float
    #: `unreachable`, `address` (another target answers there), `saturated`, `failing`,
    #: `indirect` (reported by a peer) or `confirmed` (reported, and observed here too).
    reason: str
    #: For a failure observed here: how, and since when the target is excluded.
    kind: FailureKind = FailureKind.CLOSED
    began_at: float = 0.0
    #: When to probe the target again, and the pause before that, in seconds.
    probe_at: float = float("inf")
    probe_pause_s: float = FIRST_PROBE_PAUSE_S
    #: Consecutive errors.
    errors: int = 0
    #: Whether a stream through it made progress after the failure was observed, so that
    #: the target has to be probed again.
    is_contradicted: bool = False
    #: Whether it has answered a peer since, so that it is to be probed here as well.
    has_answered_peer: bool = False


class SuspicionTable:
    """The current suspicion of each target."""

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}
        #: Until when peers' reports of targets that have answered are ignored.
        self._ignored_until: dict[str, float] = {}
        #: Targets that reject work despite spare capacity.
        self.refusals = RefusalTable()
        #: Incremented when a target is newly suspected of being unreachable.
        self.revision = 0

    def record_failure(
        self,
        target: str,
        *,
        now: float,
        reason: str = "unreachable",
        kind: FailureKind = FailureKind.CLOSED,
        takes_over: bool = False,
    ) -> bool:
        """Record that a target did not answer.

        If it `takes_over`, this instance from now on reports a failure that a peer has
        reported, and probes the target again, as if it had found the failure first.

        Returns whether it was considered reachable before.
        """
        known, reported_s = self._suspicions.get(target), 0.0
        if self.is_indirect(target, now=now):
            if not takes_over:
                self._confirm(known, kind, now)
                return True
            known, reported_s = None, known.until - now
        if known is not None and now < known.until:
            if known.reason in _DIRECT:
                is_closed = kind is FailureKind.CLOSED
                self._suspicions[target] = replace(
                    known,
                    since=now,
                    is_contradicted=False,
                    kind=kind if is_closed else known.kind,
                )
                return False
        lasted_s = max(self._find_duration_s(known, kind, now), reported_s)
        self._suspicions[target] = Suspicion(
            target=target,
            until=now + lasted_s,
            lasted_s=lasted_s,
            since=now,
            reason=reason,
            kind=kind,
            began_at=now,
            probe_at=_find_first_probe(kind, now),
        )
        self.revision += 1
        return True

    @staticmethod
    def _find_duration_s(
        known: Suspicion | None, kind: FailureKind, now: float
    ) -> float:
        """Return the seconds for which to exclude a target after a new failure.

        They grow while it fails again and again, unless it was silent: then an answer
        ends the exclusion, however long it is.
        """
        is_repeated = known is not None and now - known.until < MAX_SUSPECT_DURATION_S
        if not is_repeated or kind is FailureKind.SILENT:
            return SUSPECT_DURATION_S
        return min(MAX_SUSPECT_DURATION_S, max(SUSPECT_DURATION_S, known.lasted_s * 2))

    def _confirm(self, reported: Suspicion, kind: FailureKind, now: float) -> None:
        """Record that a reported failure was observed here too.

        The observation is not reported to peers: otherwise a failure that all instances
        observe would make each of them notify all others.
        """
        self._suspicions[reported.target] = replace(
            reported, reason="confirmed", since=now, kind=kind, began_at=now
        )
        self.revision += 1

    def record_indirect_failure(
        self,
        target: str,
        *,
        duration_s: float,
        now: float,
        observed_at: float | None = None,
    ) -> bool:
        """Exclude a target from new paths because a peer reported it unreachable.

        Running streams are not aborted (`is_unreachable`): the peer may be isolated.
        `observed_at` is when the peer observed the failure, by default now: answers to
        probes sent after that refute the report. No instance excludes a target for
        longer than `MAX_SUSPECT_DURATION_S`, so that a longer `duration_s` is cut.

        Returns whether the target was considered reachable before.
        """
        duration_s = min(duration_s, MAX_SUSPECT_DURATION_S)
        known = self._suspicions.get(target)
        if known is not None and now < known.until:
            is_reported = known.reason in (_INDIRECT, "confirmed")
            if is_reported and now + duration_s > known.until:
                self._suspicions[target] = replace(known, until=now + duration_s)
            return False
        if now < self._ignored_until.get(target, float("-inf")):
            return False
        self._suspicions[target] = Suspicion(
            target=target,
            until=now + duration_s,
            lasted_s=duration_s,
            since=now if observed_at is None else min(now, observed_at),
            reason=_INDIRECT,
        )
        self.revision += 1
        return True

    def record_answer(self, target: str, *, asked_at: float) -> bool:
        """Record that a target answered a probe.

        A direct observation takes precedence over reports for the duration of a
        suspicion, since the peer repeats its report with each heartbeat. A report that
        arrived after the probe was sent is kept: the target may have failed since.

        Returns whether a peer's report was discarded.
        """
        known = self._suspicions.get(target)
        if known is None or known.reason != _INDIRECT or asked_at < known.since:
            return False
        self._ignored_until[target] = asked_at + SUSPECT_DURATION_S
        del self._suspicions[target]
        return True

    def record_regained(
        self, target: str, *, asked_at: float, now: float
    ) -> float | None:
        """Record that a target found silent here answered a probe.

        One whose connections were closed stays excluded, and so does one for which
        other targets wait although it answers here.

        Returns the seconds for which it was excluded, `None` if it stays as it was.
        """
        known = self._suspicions.get(target)
        if known is None or known.reason not in _PROBED or asked_at < known.since:
            return None
        if known.kind is not FailureKind.SILENT:
            self._suspicions[target] = replace(known, probe_at=float("inf"))
            return None
        self._ignored_until[target] = asked_at + _REGAINED_HOLD_S
        del self._suspicions[target]
        return now - known.began_at

    def merge_regained(
        self, target: str, *, answered_at: float, now: float
    ) -> float | None:
        """Record that a target answered a peer that had found it silent.

        A failure that this instance itself reports, or has observed since, is kept
        until the target answers here too, which is tried at once: only the link between
        them may have failed.

        Returns the seconds for which it was excluded, `None` if it stays as it was.
        """
        known = self._suspicions.get(target)
        if known is not None and answered_at < known.since:
            if known.reason == "confirmed" and known.kind is FailureKind.SILENT:
                self._suspicions[target] = replace(
                    known, probe_at=now, has_answered_peer=True
                )
            return None
        self._ignored_until[target] = max(
            answered_at + _REGAINED_HOLD_S,
            self._ignored_until.get(target, float("-inf")),
        )
        if known is None or now >= known.until:
            return None
        if known.reason == "unreachable" and known.kind is not FailureKind.CLOSED:
            self._suspicions[target] = replace(
                known, probe_at=now, has_answered_peer=True
            )
        is_confirmed = known.reason == "confirmed"
        is_ended = known.reason == _INDIRECT or (
            is_confirmed and known.kind is not FailureKind.CLOSED
        )
        if not is_ended:
            return None
        del self._suspicions[target]
        return now - (known.began_at if is_confirmed else known.since)

    def list_due_probes(self, *, now: float) -> list[str]:
        """Return the unreachable targets that may answer again and are to be probed.

        Only targets that this instance itself found unreachable are included; one that
        a peer had reported before, once the peer had an answer.
        """
        return [
            name
            for name, item in self._suspicions.items()
            if item.reason in _PROBED and item.probe_at <= now < item.until
        ]

    def has_answered_peer(self, target: str) -> bool:
        """Return whether an unreachable target has answered a peer since."""
        known = self._suspicions.get(target)
        return known is not None and known.has_answered_peer

    def list_expiring(self, *, now: float, ahead_s: float) -> list[str]:
        """Return the unreachable targets whose suspicion ends within `ahead_s` seconds.

        Only targets that this instance itself found unreachable are included.
        """
        return [
            name
            for name, item in self._suspicions.items()
            if item.reason == "unreachable" and now < item.until <= now + ahead_s
        ]

    def extend(
        self, target: str, *, now: float, kind: FailureKind = FailureKind.CLOSED
    ) -> None:
        """Extend the exclusion of an unreachable target that still does not answer.

        Guards against all instances sending work to it again at the same time.
        """
        known = self._suspicions.get(target)
        if known is not None and known.reason == "confirmed":
            # The peer that reports it extends the exclusion.
            self._suspicions[target] = replace(
                known,
                since=now,
                kind=kind,
                probe_at=float("inf"),
                has_answered_peer=False,
            )
        if known is not None and known.reason == "unreachable":
            until = max(known.until, now + SUSPECT_DURATION_S)
            pause_s = min(MAX_PROBE_PAUSE_S, known.probe_pause_s * _PROBE_PAUSE_GROWTH)
            is_silent = kind is FailureKind.SILENT
            self._suspicions[target] = replace(
                known,
                until=until,
                since=now,
                is_contradicted=False,
                kind=kind,
                probe_at=now + pause_s if is_silent else float("inf"),
                probe_pause_s=pause_s,
                has_answered_peer=False,
            )

    def record_saturated(self, target: str, *, now: float) -> None:
        """Record a rejection, for lack of capacity or due to a change of layers."""
        known = self._suspicions.get(target)
        if known is not None and now < known.until:
            return
        lasted_s = SATURATED_DURATION_S
        if known is not None and known.reason == "saturated":
            if now - known.until < _SATURATED_RESET_S:
                lasted_s = min(MAX_SATURATED_DURATION_S, known.lasted_s * 2)
        self._suspicions[target] = Suspicion(
            target=target,
            until=now + lasted_s,
            lasted_s=lasted_s,
            since=now,
            reason="saturated",
            errors=0 if known is None else known.errors,
        )

    def record_error(self, target: str, *, now: float) -> bool:
        """Record that a target answered with an error or an incomplete response.

        Guards against errors that replace a known failure: an unreachable target also
        truncates responses. Streams through it would stall, and peers would not be
        notified. A failure observed here is kept; any other suspicion is kept until the
        errors alone exclude the target.

        Returns whether the target is excluded now.
        """
        known = self._suspicions.get(target)
        errors = 1 if known is None else known.errors + 1
        base = known or Suspicion(
            target=target, until=now, lasted_s=0.0, since=now, reason="failing"
        )
        is_out = errors >= MAX_ERRORS
        if now < base.until and (base.reason in _DIRECT or not is_out):
            self._suspicions[target] = replace(base, errors=errors)
            return True
        until = now + FAILING_DURATION_S if is_out else base.until
        self._suspicions[target] = replace(
            base, until=until, errors=errors, reason="failing"
        )
        return is_out

    def record_success(self, target: str, *, now: float) -> None:
        """Record that a target served a request without an error."""
        known = self._suspicions.get(target)
        if known is not None and now >= known.until:
            del self._suspicions[target]

    def record_restart(self, target: str) -> None:
        """Discard the observations of a target from before its restart."""
        self._suspicions.pop(target, None)

    def discard_direct(self, targets: Iterable[str]) -> None:
        """Discard the failures and errors that this instance observed of targets."""
        for target in targets:
            known = self._suspicions.get(target)
            if known is not None and known.reason in _DIRECT | {"failing"}:
                del self._suspicions[target]

    def is_suspect(self, target: str, *, now: float) -> bool:
        """Return whether a target is excluded from new work."""
        known = self._suspicions.get(target)
        return known is not None and now < known.until

    def is_unreachable(self, target: str, *, now: float) -> bool:
        """Return whether this instance itself found that a target does not answer.

        Only this aborts running requests: a target that a peer reported, or that
        answers with errors, may still serve them.
        """
        known = self._suspicions.get(target)
        return known is not None and now < known.until and known.reason in _DIRECT

    def is_unreachable_since(
        self, target: str, *, served_at: float, now: float
    ) -> bool:
        """Return whether a target is unreachable for a stream that it last served then.

        Guards against aborting streams through a healthy target: a stream that made
        progress after the failure was last observed is still served by the target,
        until the failure is observed again.
        """
        known = self._suspicions.get(target)
        return self.is_unreachable(target, now=now) and served_at <= known.since

    def record_progress(self, target: str, *, served_at: float, now: float) -> bool:
        """Record that a stream made progress.

        Returns whether that contradicts a failure observed here.
        """
        if not self.is_unreachable(target, now=now):
            return False
        if self.is_unreachable_since(target, served_at=served_at, now=now):
            return False
        known = self._suspicions[target]
        self._suspicions[target] = replace(known, is_contradicted=True)
        return True

    def may_probe(self, target: str, *, now: float) -> bool:
        """Return whether a probe of the target can yield new information."""
        known = self._suspicions.get(target)
        return not self.is_unreachable(target, now=now) or known.is_contradicted

    def is_indirect(self, target: str, *, now: float) -> bool:
        """Return whether a target is excluded by a peer's report alone."""
        known = self._suspicions.get(target)
        return known is not None and now < known.until and known.reason == _INDIRECT

    def is_reported_since(self, target: str, *, served_at: float, now: float) -> bool:
        """Return whether a peer's report alone excludes a target that served then.

        A stream that made progress after the peer observed the failure is not silent
        for that reason.
        """
        known = self._suspicions.get(target)
        return self.is_indirect(target, now=now) and served_at <= known.since

    def find_reason(self, target: str, *, now: float) -> str:
        """Return why a target is excluded from new work, empty if it is not."""
        known = self._suspicions.get(target)
        return "" if known is None or now >= known.until else known.reason

    def count_reasons(self, *, now: float) -> Counter[str]:
        """Return the number of excluded targets by reason."""
        return Counter(
            item.reason for item in self._suspicions.values() if now < item.until
        )

    def list_direct_failures(self, *, now: float) -> list[Suspicion]:
        """Return the failures observed here, to report to peers."""
        return [
            item
            for item in self._suspicions.values()
            if now < item.until and item.reason == "unreachable"
        ]

    def list_indirect_failures(self, *, now: float) -> list[Suspicion]:
        """Return the failures reported by peers, to relay to subscribed instances."""
        return [
            item
            for item in self._suspicions.values()
            if now < item.until and item.reason in (_INDIRECT, "confirmed")
        ]

    def list_suspects(
        self, targets: Iterable[str], *, now: float, includes_reported: bool = True
    ) -> frozenset[str]:
        """Return which of a service's targets to exclude.

        Without `includes_reported`, a peer's report alone does not exclude a target.
        If the suspects exceed `MAX_SUSPECTED_SHARE`, only those observed here are
        excluded; if these alone exceed it, no target is excluded.
        """
        names = list(targets)
        max_suspects = len(names) * MAX_SUSPECTED_SHARE
        suspects = [name for name in names if self.is_suspect(name, now=now)]
        if len(suspects) > max_suspects or not includes_reported:
            suspects = [
                name for name in suspects if not self.is_indirect(name, now=now)
            ]
        return frozenset(suspects if len(suspects) <= max_suspects else ())


def _find_first_probe(kind: FailureKind, now: float) -> float:
    """Return when to probe a target again that was found unreachable."""
    is_closed = kind is FailureKind.CLOSED
    return float("inf") if is_closed else now + FIRST_PROBE_PAUSE_S
