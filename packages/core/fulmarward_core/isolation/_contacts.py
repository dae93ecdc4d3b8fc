"""Whether the targets of each service answer this instance.

If none does, either the service is down or this instance is isolated from it. A
request that a peer serves meanwhile shows that the fault is on this side. Streams prove
nothing: those that began earlier may go on while all new connections are refused.
"""

from dataclasses import dataclass
from enum import Enum


class Contact(Enum):
    """What an instance knows of its connections to a service."""

    #: Its targets answer, or nothing contradicts it.
    REACHED = "reached"
    #: No target answers.
    UNREACHED = "unreached"
    #: No target answers this instance, while a peer is served.
    ISOLATED = "isolated"


class ContactEvent(Enum):
    """An observation of a service."""

    #: No target of a sample answered.
    NO_ANSWER = "no answer"
    #: A target answered a probe, or accepted a connection shortly after an answer.
    ANSWER = "answer"
    #: A peer served a request that was relayed to it.
    SERVED_BY_PEER = "served by peer"


#: Seconds without an answer after which a service counts as unreached for certain.
#: Until then all its targets may just be slow to answer.
CERTAIN_AFTER_S = 1.0

#: The state after an event; an event without an entry changes nothing.
_TRANSITIONS = {
    (Contact.REACHED, ContactEvent.NO_ANSWER): Contact.UNREACHED,
    (Contact.UNREACHED, ContactEvent.SERVED_BY_PEER): Contact.ISOLATED,
    (Contact.UNREACHED, ContactEvent.ANSWER): Contact.REACHED,
    (Contact.ISOLATED, ContactEvent.ANSWER): Contact.REACHED,
}


@dataclass(frozen=True, kw_only=True)
class ServiceContact:
    """The contact to one service."""

    contact: Contact
    #: Since when no target answers, in seconds on the monotonic clock.
    since: float

    def is_certain(self, *, now: float) -> bool:
        """Return whether requests need not be tried at targets any more."""
        return self.contact is Contact.ISOLATED or now - self.since >= CERTAIN_AFTER_S


class ContactTable:
    """The contact of one instance to each service."""

    def __init__(self) -> None:
        #: The services whose targets do not answer.
        self._unreached: dict[str, ServiceContact] = {}
        #: When a target of each service last answered, in seconds on the monotonic
        #: clock.
        self._answered_at: dict[str, float] = {}

    def find(self, service: str) -> Contact:
        """Return the contact to a service."""
        known = self._unreached.get(service)
        return Contact.REACHED if known is None else known.contact

    def is_unreached_for_certain(self, service: str, *, now: float) -> bool:
        """Return whether no target of a service is going to answer."""
        known = self._unreached.get(service)
        return known is not None and known.is_certain(now=now)

    def is_reached(self, service: str) -> bool:
        """Return whether requests to a service may be sent to its targets."""
        return service not in self._unreached

    @property
    def is_isolated(self) -> bool:
        """Whether a peer reaches a service that this instance does not."""
        return any(
            known.contact is Contact.ISOLATED for known in self._unreached.values()
        )

    def list_unreached(self) -> dict[str, ServiceContact]:
        """Return the contact to each service that is not reached."""
        return dict(self._unreached)

    def record_response(self, service: str, *, now: float) -> None:
        """Record that a target has answered a request.

        It does not end an isolation: the connection may be older than that.
        """
        self._answered_at[service] = now

    def find_answer_age_s(self, service: str, *, now: float) -> float:
        """Return the seconds since a target last answered, infinite if none has."""
        return now - self._answered_at.get(service, float("-inf"))

    def apply(self, service: str, event: ContactEvent, *, now: float) -> bool:
        """Apply an observation; return whether it changes the contact."""
        if event is ContactEvent.ANSWER:
            self.record_response(service, now=now)
        before = self.find(service)
        after = _TRANSITIONS.get((before, event), before)
        if after is before:
            return False
        if after is Contact.REACHED:
            del self._unreached[service]
            return True
        known = self._unreached.get(service)
        since = now if known is None else known.since
        self._unreached[service] = ServiceContact(contact=after, since=since)
        return True
