"""The life of an instance as a state table."""

from transitions import Machine

#: From which state each step leads where.
TRANSITIONS = [
    {"trigger": "become_ready", "source": "starting", "dest": "serving"},
    {"trigger": "begin_stop", "source": ["starting", "serving"], "dest": "stopping"},
    {"trigger": "finish_stop", "source": "stopping", "dest": "stopped"},
]

STATES = ["starting", "serving", "stopping", "stopped"]


class Lifecycle:
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
