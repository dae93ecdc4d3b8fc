"""The lifecycle of an instance as a state machine."""

from transitions import Machine

TRANSITIONS = [
    {"trigger": "become_ready", "source": "starting", "dest": "serving"},
    {"trigger": "begin_stop", "source": ["starting", "serving"], "dest": "leaving"},
    {"trigger": "end_requests", "source": "leaving", "dest": "finishing"},
    {"trigger": "finish_stop", "source": "finishing", "dest": "stopped"},
]

#: In `leaving`, the instance takes new requests that it can end in time, but lookups no
#: longer return it; in `finishing`, open requests get their end and none is taken.
STATES = ["starting", "serving", "leaving", "finishing", "stopped"]


class Life:
    """The lifecycle state; an invalid transition raises `MachineError`."""

    state: str

    def __init__(self) -> None:
        self._machine = Machine(
            model=self,
            states=STATES,
            transitions=TRANSITIONS,
            initial="starting",
            auto_transitions=False,
        )

    @property
    def is_stopping(self) -> bool:
        """Whether a stop has begun."""
        return self.state in ("leaving", "finishing", "stopped")
