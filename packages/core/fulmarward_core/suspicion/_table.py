"""Which targets an instance does not trust for now, by what it and peers saw."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from fulmarward_core.suspicion._refusals import RefusalTable

#: Seconds for which a target is left out after it did not answer, doubled each time up
#: to the most. Load: a target that is dark for seconds; harm: each try costs a caller
#: half a second; reason: the store takes its row away after three heartbeats.
SUSPECT_S = 2.0
MOST_SUSPECT_S = 8.0

#: Seconds for which a target is left out after it refused for want of room. Reason:
#: about a fifth of the usual answer's time, in which some of its requests end.
FULL_S = 0.4

#: Seconds up to which that doubles while a target refuses again and again without
#: serving in between, and after which it begins anew. Load: targets that are leaving
#: and cannot say so, since the store is out: they refuse all that is new; harm: with
#: 0.4 s each time, every request met three of them with its three attempts and was
#: refused, for nine seconds; reason: two or three tries of each instance in that time.
MOST_FULL_S = 3.2
_FULL_AGAIN_S = 2.0

#: Seconds for which a target counts as failing after failed answers in a row.
FAILING_S = 3.0

#: Failed answers in a row after which a target is left out. Load: targets that fail a
#: part of their requests while healthy otherwise; reason: one failure is chance.
MOST_FAILURES = 2

#: Part of a service's targets that may be suspected. Load: an instance that is cut off
#: itself, or a slowness of all; harm: everything is refused though targets are there;
#: reason: beyond half, the fault is more likely here than there.
MOST_SUSPECTED = 0.5


#: Reasons that say that a target does not answer: seen here, also where a peer told of
#: it first, or that another answers at its address.
_SEEN_LOST = frozenset({"lost", "confirmed", "address"})
_TOLD = "told"


@dataclass(frozen=True, kw_only=True)
class Suspicion:
    """Why and until when a target is left out."""

    #: Name of the target.
    target: str
    #: Until when, seconds on the steady clock.
    until: float
    #: Seconds for which it was left out the last time.
    lasted_s: float
    #: When it was last suspected; for a loss seen here, when that was last seen.
    since: float
    #: `lost`, `address` (another answers there), `full`, `failing`, `told` (by a peer)
    #: or `confirmed` (told, and seen here too).
    reason: str
    #: Failed answers in a row.
    failures: int = 0
    #: Whether a stream moved through it after it was lost here, so that it is to be
    #: asked again.
    is_contested: bool = False


class SuspicionTable:
    """Suspicions by target."""

    def __init__(self) -> None:
        self._suspicions: dict[str, Suspicion] = {}
        #: When targets that a peer had lost were asked here and answered.
        self._answered_at: dict[str, float] = {}
        #: Targets that refuse although they have room.
        self.refusals = RefusalTable()
        #: Rises when a target comes under suspicion of being lost.
        self.revision = 0

    def note_lost(self, target: str, *, now: float, reason: str = "lost") -> bool:
        """A target did not answer; return whether that is news."""
        known = self._suspicions.get(target)
        if known is not None and now < known.until:
            if known.reason == _TOLD:
                self._confirm(known, now)
                return True
            if known.reason in _SEEN_LOST:
                self._suspicions[target] = replace(known, since=now, is_contested=False)
                return False
        lasted_s = SUSPECT_S
        if known is not None and now - known.until < MOST_SUSPECT_S:
            lasted_s = min(MOST_SUSPECT_S, max(SUSPECT_S, known.lasted_s * 2))
        self._suspicions[target] = Suspicion(
            target=target,
            until=now + lasted_s,
            lasted_s=lasted_s,
            since=now,
            reason=reason,
        )
        self.revision += 1
        return True

    def _confirm(self, told: Suspicion, now: float) -> None:
        """What a peer told was seen here too.

        It is not told on, so that a loss which all instances see does not make each of
        them tell all others.
        """
        self._suspicions[told.target] = replace(told, reason="confirmed", since=now)
        self.revision += 1

    def note_told(self, target: str, *, for_s: float, now: float) -> bool:
        """A peer lost a target; return whether that is news.

        It is left out of new paths; what runs there is ended only by what is seen here
        (`is_lost`). Guards against a peer whose own link is cut or full: it takes all
        that it cannot hear for lost, and one word of it would end sound streams at
        every instance.
        """
        known = self._suspicions.get(target)
        if known is not None and now < known.until:
            is_told = known.reason in (_TOLD, "confirmed")
            if is_told and now + for_s > known.until:
                self._suspicions[target] = replace(known, until=now + for_s)
            return False
        if now - self._answered_at.get(target, float("-inf")) < SUSPECT_S:
            return False
        self._suspicions[target] = Suspicion(
            target=target, until=now + for_s, lasted_s=for_s, since=now, reason=_TOLD
        )
        self.revision += 1
        return True

    def note_answered(self, target: str, *, asked_at: float) -> bool:
        """A target answered a probe; return whether a peer's word falls with that.

        What is heard here goes before a word for as long as a suspicion lasts: the
        peer repeats it with each of its heartbeats. A word that came first after the
        target was asked stays: the target may be gone since, and a probe's end waits
        for others.
        """
        known = self._suspicions.get(target)
        if known is None or known.reason != _TOLD or asked_at < known.since:
            return False
        self._answered_at[target] = asked_at
        del self._suspicions[target]
        return True

    def list_ending(self, *, now: float, ahead_s: float) -> list[str]:
        """Return the targets lost here whose suspicion ends within `ahead_s`."""
        return [
            name
            for name, item in self._suspicions.items()
            if item.reason == "lost" and now < item.until <= now + ahead_s
        ]

    def extend(self, target: str, *, now: float) -> None:
        """A lost target still does not answer: it is left out for longer.

        Guards against a target that is away for longer than its suspicion: it would be
        sent work again, by all instances at once.
        """
        known = self._suspicions.get(target)
        if known is not None and known.reason == "lost":
            until = max(known.until, now + SUSPECT_S)
            self._suspicions[target] = replace(
                known, until=until, since=now, is_contested=False
            )

    def note_full(self, target: str, *, now: float) -> None:
        """A target refused for want of room, or since its layers change."""
        known = self._suspicions.get(target)
        if known is not None and now < known.until:
            return
        lasted_s = FULL_S
        if known is not None and known.reason == "full":
            if now - known.until < _FULL_AGAIN_S:
                lasted_s = min(MOST_FULL_S, known.lasted_s * 2)
        self._suspicions[target] = Suspicion(
            target=target,
            until=now + lasted_s,
            lasted_s=lasted_s,
            since=now,
            reason="full",
            failures=0 if known is None else known.failures,
        )

    def note_failed(self, target: str, *, now: float) -> bool:
        """A target answered with a failure; return whether it is left out now.

        Guards against a loss that is forgotten: a target that is lost breaks answers
        off too, and these would count in the loss's place. What runs there would stand
        still, and peers would not hear of it. A loss seen here stays what it is, and
        any other suspicion does until the failures alone would leave the target out.
        """
        known = self._suspicions.get(target)
        failures = 1 if known is None else known.failures + 1
        base = known or Suspicion(
            target=target, until=now, lasted_s=0.0, since=now, reason="failing"
        )
        is_out = failures >= MOST_FAILURES
        if now < base.until and (base.reason in _SEEN_LOST or not is_out):
            self._suspicions[target] = replace(base, failures=failures)
            return True
        until = now + FAILING_S if is_out else base.until
        self._suspicions[target] = replace(
            base, until=until, failures=failures, reason="failing"
        )
        return is_out

    def note_served(self, target: str, *, now: float) -> None:
        """A target answered well."""
        known = self._suspicions.get(target)
        if known is not None and now >= known.until:
            del self._suspicions[target]

    def note_restarted(self, target: str) -> None:
        """A target began anew: what was seen of it before says nothing."""
        self._suspicions.pop(target, None)

    def is_suspect(self, target: str, *, now: float) -> bool:
        """Return whether a target is to be left out."""
        known = self._suspicions.get(target)
        return known is not None and now < known.until

    def is_lost(self, target: str, *, now: float) -> bool:
        """Return whether a target was seen here not to answer at all.

        Only this ends what runs there. A target that a peer lost, or that answers with
        failures, may still serve.
        """
        known = self._suspicions.get(target)
        return known is not None and now < known.until and known.reason in _SEEN_LOST

    def is_lost_since(self, target: str, *, served_at: float, now: float) -> bool:
        """Return whether a target is lost for a stream that it served last then.

        Guards against a sound target that was taken for lost: streams go on through
        it, and each that pauses would be ended. One that moved after the loss was last
        seen was served by the target; it holds for that stream once it is seen again.
        """
        known = self._suspicions.get(target)
        return self.is_lost(target, now=now) and served_at <= known.since

    def note_moving(self, target: str, *, served_at: float, now: float) -> bool:
        """A stream moved; return whether that speaks against a loss seen here."""
        if not self.is_lost(target, now=now):
            return False
        if self.is_lost_since(target, served_at=served_at, now=now):
            return False
        known = self._suspicions[target]
        self._suspicions[target] = replace(known, is_contested=True)
        return True

    def may_be_asked(self, target: str, *, now: float) -> bool:
        """Return whether an answer of a target would say anything new."""
        known = self._suspicions.get(target)
        return not self.is_lost(target, now=now) or known.is_contested

    def is_told(self, target: str, *, now: float) -> bool:
        """Return whether a target counts as lost by a peer's word alone."""
        known = self._suspicions.get(target)
        return known is not None and now < known.until and known.reason == _TOLD

    def list_lost(self, *, now: float) -> list[Suspicion]:
        """Return what this instance saw itself, for peers."""
        return [
            item
            for item in self._suspicions.values()
            if now < item.until and item.reason == "lost"
        ]

    def list_reported(self, *, now: float) -> list[Suspicion]:
        """Return what peers lost as far as that still counts, for those that do not
        hear them.
        """
        return [
            item
            for item in self._suspicions.values()
            if now < item.until and item.reason in (_TOLD, "confirmed")
        ]

    def list_suspects(self, targets: Iterable[str], *, now: float) -> frozenset[str]:
        """Return which of a service's targets to leave out.

        When too many would be, those are not that only a peer lost; when what was seen
        here is too much by itself, nobody is.
        """
        names = list(targets)
        most = len(names) * MOST_SUSPECTED
        suspects = [name for name in names if self.is_suspect(name, now=now)]
        if len(suspects) > most:
            suspects = [name for name in suspects if not self.is_told(name, now=now)]
        return frozenset(suspects if len(suspects) <= most else ())
