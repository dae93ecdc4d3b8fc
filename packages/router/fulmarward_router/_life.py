"""The lifecycle of an instance as a state machine."""

from transitions import Machine

TRANSITIONS = [
    {"trigger": "become_ready", "source": "starting", "dest": "serving"},
    {"trigger": "begin_stop", "source": ["starting", "serving"], "dest": "leaving"},
    {"trigger": "refuse_streams", "source": "leaving", "dest": "finishing"},
    {"trigger": "finish_stop", "source": ["leaving", "finishing"], "dest": "stopped"},
]

#: In `leaving`, the instance serves new requests but lookups no longer return it; in
#: `finishing`, it accepts no more long requests.
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

    @property
    def accepts_streams(self) -> bool:
        """Whether new requests that last for seconds are accepted."""
        return self.state in ("starting", "serving", "leaving")
