"""Runs real processes on loopback for tests, the demo and benchmarks."""

from fulmarward_standins.harness._callers import (
    CallResult,
    SseEvent,
    call_json,
    read_stream,
)
from fulmarward_standins.harness._fleet import Fleet, FleetPlan, start_fleet
from fulmarward_standins.harness._golden import check_golden, normalize_text
from fulmarward_standins.harness._ledger_checks import find_ledger_faults
from fulmarward_standins.harness._plans import (
    OPERATOR_TOKEN,
    PEER_SECRET,
    InstancePlan,
    TargetPlan,
    make_declaration,
    make_team_key,
)
from fulmarward_standins.harness._ports import find_ports
from fulmarward_standins.harness._processes import Process, start_process, wait_until
from fulmarward_standins.harness._streams import (
    CallerStream,
    open_stream,
    read_full_stream,
)
from fulmarward_standins.harness._usage import Usage, read_usage

__all__ = [
    "OPERATOR_TOKEN",
    "PEER_SECRET",
    "CallResult",
    "CallerStream",
    "Fleet",
    "FleetPlan",
    "InstancePlan",
    "Process",
    "SseEvent",
    "TargetPlan",
    "Usage",
    "call_json",
    "check_golden",
    "find_ledger_faults",
    "find_ports",
    "make_declaration",
    "normalize_text",
    "make_team_key",
    "open_stream",
    "read_stream",
    "read_usage",
    "read_full_stream",
    "start_fleet",
    "start_process",
    "wait_until",
]
