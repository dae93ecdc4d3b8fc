"""The lifecycle of an instance as a state machine."""

from transitions import Machine

#: The transitions by trigger.
TRANSITIONS = [
    {
        "trigger": "become_ready",
        "source": ["starting", "checking"],
        "dest": "serving",
    },
    {"trigger": "begin_check", "source": "serving", "dest": "checking"},
    {
        "trigger": "begin_stop",
        "source": ["starting", "serving", "checking"],
        "dest": "stopping",
    },
    {"trigger": "finish_stop", "source": "stopping", "dest": "stopped"},
]

#: In `checking` an instance that was paused verifies that its state is still current.
STATES = ["starting", "serving", "checking", "stopping", "stopped"]


class Lifecycle:
    """The state of an instance; an invalid transition raises `MachineError`."""

    state: str

    def __init__(self) -> None:
        self._machine = Machine(
            model=self,
            states=STATES,
            transitions=TRANSITIONS,
            initial="starting",
            auto_transitions=False,
        )
