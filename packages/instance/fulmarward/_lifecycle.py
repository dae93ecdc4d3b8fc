"""The life of an instance as a state table."""

from transitions import Machine

#: From which state each step leads where.
TRANSITIONS = [
    {
        "trigger": "become_ready",
        "source": ["starting", "checking"],
        "dest": "serving",
    },
    {"trigger": "doubt", "source": "serving", "dest": "checking"},
    {
        "trigger": "begin_stop",
        "source": ["starting", "serving", "checking"],
        "dest": "stopping",
    },
    {"trigger": "finish_stop", "source": "stopping", "dest": "stopped"},
]

#: `checking` is that of an instance that was paused and asks whether what it knows
#: is still so.
STATES = ["starting", "serving", "checking", "stopping", "stopped"]


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
