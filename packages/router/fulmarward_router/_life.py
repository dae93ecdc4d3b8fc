"""The life of an instance as a state table."""

from transitions import Machine

#: From which state each step leads where.
TRANSITIONS = [
    {"trigger": "become_ready", "source": "starting", "dest": "serving"},
    {"trigger": "begin_stop", "source": ["starting", "serving"], "dest": "leaving"},
    {"trigger": "refuse_streams", "source": "leaving", "dest": "finishing"},
    {"trigger": "finish_stop", "source": ["leaving", "finishing"], "dest": "stopped"},
]

#: `leaving` serves all that still comes, but is given to no caller; `finishing` takes
#: no more long requests.
STATES = ["starting", "serving", "leaving", "finishing", "stopped"]


class Life:
    """Where an instance is in its life; a step out of order raises `MachineError`."""

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
        """Whether the instance was told to stop."""
        return self.state in ("leaving", "finishing", "stopped")

    @property
    def takes_streams(self) -> bool:
        """Whether requests that last for seconds are begun."""
        return self.state in ("starting", "serving", "leaving")
