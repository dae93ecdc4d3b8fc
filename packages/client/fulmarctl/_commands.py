"""The commands of `fulmarctl`."""

import getpass
import json
import sys
import time
import uuid
from dataclasses import replace
from pathlib import Path
from urllib.parse import quote

from fulmarctl._client import Fleet, Reply, call_every_instance, call_instance
from fulmarctl._denials import summarize_denials
from fulmarctl._output import print_failure, print_reply
from fulmarctl._settings import load_fleet
from fulmarward_core.checks import (
    Fault,
    describe_faults,
    parse_json,
    read_address,
    read_list_of,
)
from fulmarward_core.command_line import defer, keep_text
from fulmarward_core.declaration import hash_declaration, parse_declaration
from fulmarward_core.results import Failure, ResultCode, make_failure

#: Upper bound on the instances that one `explain` asks, as on those in the settings.
MAX_EXPLAIN_ADDRESSES = 1000

#: Seconds between two checks whether all instances have confirmed.
POLL_INTERVAL_S = 0.2


def _read_file(path: str) -> object:
    faults: list[Fault] = []
    try:
        value = parse_json(Path(path).read_text(), path, faults)
    except (OSError, UnicodeDecodeError) as error:
        print_failure(make_failure(ResultCode.DECLARATION_INVALID, str(error)))
    if faults:
        failure = make_failure(ResultCode.DECLARATION_INVALID, describe_faults(faults))
        print_failure(failure)
    return value


def _call(fleet: Fleet, path: str, body: object = None) -> Reply:
    outcome = call_instance(fleet, path, body)
    if isinstance(outcome, Failure):
        print_failure(outcome)
    return outcome


class Commands:
    """Operate a fleet of fulmarward instances.

    SETTINGS is a JSON file with `addresses` (operator addresses of instances),
    `token_file` and, for instances that use TLS, `authority_file` (PEM). Every
    command prints JSON with `--json`, and exits with the status that
    docs/RESULT-CODES.md gives for its result; `explain` has statuses of its own.
    """

    def __init__(self, settings: str = "fulmarctl.json", json: bool = False) -> None:
        self._path = settings
        self._as_json = json

    @defer
    def validate(self, file: str) -> None:
        """Check the declaration in FILE and print every error; needs no instance."""
        value = _read_file(file)
        parsed = parse_declaration(value)
        if isinstance(parsed, tuple):
            faults = describe_faults(parsed)
            print_failure(make_failure(ResultCode.DECLARATION_INVALID, faults))
        print_reply(
            {"valid": True, "hash": hash_declaration(value)}, as_json=self._as_json
        )

    @defer
    def beliefs(self, address: str) -> None:
        """Show the state of the fleet as the routing instance at ADDRESS knows it.

        ADDRESS is its metrics address, `IP:PORT`. The state has the configuration's
        version and age, why a later one was refused, the targets with the layers that
        they hold, the layers that no target holds, the lease holder, the demand of
        services with classes, and since when the store is unreachable. Needs no
        settings file.
        """
        fleet = Fleet(addresses=(address,), token="")
        reply = _call(fleet, "/status")
        print_reply(reply.body, as_json=self._as_json)

    @defer
    @keep_text
    def explain(self, request_id: str, *addresses: str) -> None:
        """Show why the routing instances at ADDRESSES rejected a request.

        REQUEST_ID is the id that the log has as `request`, and each of ADDRESSES a
        metrics address, `IP:PORT`. An instance keeps its last 512 rejections until it
        restarts: `running_s` is for how many seconds it has been running, and
        `covered_s` for how many its records are complete. Needs no settings file.

        The exit status is 0 if a record was found, 1 if none was and all instances
        answered, and 2 if none was and an instance did not answer. A command line that
        is not understood has the status 2 too, with its error instead of a result.
        """
        faults: list[Fault] = []
        read = read_list_of(read_address(), least=1, most=MAX_EXPLAIN_ADDRESSES)
        read(list(addresses), "ADDRESSES", faults)
        if faults:
            print_failure(make_failure(ResultCode.USAGE, describe_faults(faults)))
        fleet = Fleet(addresses=tuple(dict.fromkeys(addresses)), token="")
        escaped_id = quote(request_id, safe="", errors="surrogateescape")
        replies = call_every_instance(fleet, f"/denials?request={escaped_id}")
        for reply in replies:
            if isinstance(reply, Failure) and reply.code is ResultCode.USAGE:
                print_failure(make_failure(ResultCode.USAGE, reply.message))
        summary, exit_status = summarize_denials(fleet.addresses, replies)
        print_reply({"request": request_id, **summary}, as_json=self._as_json)
        sys.exit(exit_status)

    @defer
    def lift(self, address: str, pattern: str) -> None:
        """Accept requests with PATTERN again, which crashed targets, at all instances.

        ADDRESS is the metrics address of a routing instance, `IP:PORT`; `beliefs` shows
        there which patterns are rejected. If targets crash under PATTERN again, it is
        rejected again. Needs no settings file.
        """
        fleet = Fleet(addresses=(address,), token="")
        reply = _call(fleet, "/lift-crash-pattern", {"pattern": str(pattern)})
        if not reply.body["is_lifted"]:
            detail = f"No crashes are known under the pattern {pattern}."
            print_failure(make_failure(ResultCode.NOT_FOUND, detail))
        print_reply(reply.body, as_json=self._as_json)

    @defer
    def apply(
        self, file: str, base_epoch: int | None = None, wait_s: float = 10.0
    ) -> None:
        """Apply the declaration in FILE as a whole and wait until it is in force.

        BASE_EPOCH is the epoch that FILE is based on, by default the one in force. If
        another file was applied since, nothing is changed and that file's operator is
        named.
        WAIT_S is how long to wait for every instance to confirm; 0 does not wait.
        """
        fleet = load_fleet(self._path)
        value = _read_file(file)
        self._apply_value(fleet, value, base_epoch, wait_s)

    @defer
    def rollback(self, epoch: int, wait_s: float = 10.0) -> None:
        """Apply the declaration of EPOCH again, as a new epoch."""
        fleet = load_fleet(self._path)
        base_epoch = _call(fleet, "/status").body["head"]["epoch"]
        earlier = _call(fleet, f"/declaration?epoch={epoch}").body
        self._apply_value(fleet, earlier["declaration"], base_epoch, wait_s)

    def _apply_value(
        self, fleet: Fleet, value: object, base_epoch: int | None, wait_s: float
    ) -> None:
        if base_epoch is None:
            base_epoch = _call(fleet, "/status").body["head"]["epoch"]
        reply = _call(
            fleet,
            "/apply",
            {
                "declaration": value,
                "apply_id": uuid.uuid4().hex,
                "applied_by": getpass.getuser(),
                "base_epoch": base_epoch,
            },
        )
        epoch = reply.body["head"]["epoch"]
        missing = self._wait_for_epoch(fleet, epoch, wait_s) if wait_s else []
        print_reply({**reply.body, "not_confirmed": missing}, as_json=self._as_json)
        if missing:
            detail = "Missing: " + ", ".join(missing)
            print_failure(make_failure(ResultCode.NOT_CONFIRMED, detail))

    def _wait_for_epoch(self, fleet: Fleet, epoch: int, wait_s: float) -> list[str]:
        """Return the addresses that have not confirmed `epoch` within `wait_s`."""
        deadline = time.monotonic() + wait_s
        while True:
            replies = call_every_instance(fleet, "/status")
            missing = [
                address
                for address, reply in zip(fleet.addresses, replies, strict=True)
                if isinstance(reply, Failure) or reply.body["head"]["epoch"] < epoch
            ]
            if not missing or time.monotonic() >= deadline:
                return missing
            time.sleep(POLL_INTERVAL_S)

    @defer
    def diff(self, file: str) -> None:
        """Show the changes that FILE would make to the declaration in force."""
        value = _read_file(file)
        current = _call(load_fleet(self._path), "/declaration").body
        changes = _list_changes(current["declaration"] or {}, value, "")
        body = {"epoch": current["head"]["epoch"], "changes": changes}
        print_reply(body, as_json=self._as_json)

    @defer
    def status(self) -> None:
        """Show the state of every instance in SETTINGS."""
        fleet = load_fleet(self._path)
        replies = call_every_instance(fleet, "/status")
        shown = [
            {"address": address, "unreachable": reply.message}
            if isinstance(reply, Failure)
            else {"address": address, **reply.body}
            for address, reply in zip(fleet.addresses, replies, strict=True)
        ]
        print_reply({"instances": shown}, as_json=self._as_json)
        if all(isinstance(reply, Failure) for reply in replies):
            print_failure(replies[0])

    @defer
    def history(self, count: int = 20) -> None:
        """Show the last COUNT declarations that were in force, oldest first."""
        body = _call(load_fleet(self._path), f"/history?count={count}").body
        print_reply(body, as_json=self._as_json)

    @defer
    def targets(self) -> None:
        """Show the targets in the view of one instance."""
        body = _call(load_fleet(self._path), "/targets").body
        print_reply(body, as_json=self._as_json)

    @defer
    def placement(self) -> None:
        """Show who places each model, and each rollout's state and reason."""
        body = _call(load_fleet(self._path), "/placement").body
        print_reply(body, as_json=self._as_json)

    @defer
    def trace(self, request: str) -> None:
        """Show the decisions for one recent request, by its X-Request-Id."""
        fleet = load_fleet(self._path)
        replies = call_every_instance(fleet, f"/trace/{request}")
        found = {
            address: reply.body["lines"]
            for address, reply in zip(fleet.addresses, replies, strict=True)
            if not isinstance(reply, Failure)
        }
        if not found:
            print_failure(make_failure(ResultCode.NOT_FOUND, f"Request {request}."))
        for address, lines in found.items():
            print_reply({"address": address, "lines": lines}, as_json=self._as_json)

    @defer
    def drain_instance(self, address: str) -> None:
        """Stop the instance at operator address ADDRESS after its open requests.

        It is removed from discovery, accepts no new work, ends its streams and exits.
        """
        fleet = replace(load_fleet(self._path), addresses=(address,))
        print_reply(_call(fleet, "/drain", {}).body, as_json=self._as_json)

    @defer
    def drain_target(self, name: str) -> None:
        """Send no new work to the target NAME; its running requests continue."""
        self._change_drain(name, drained=True)

    @defer
    def undrain_target(self, name: str) -> None:
        """Send new work to the drained target NAME again."""
        self._change_drain(name, drained=False)

    def _change_drain(self, name: str, *, drained: bool) -> None:
        body = {"target": name, "drained": drained, "by": getpass.getuser()}
        reply = _call(load_fleet(self._path), "/drain-target", body)
        print_reply(reply.body, as_json=self._as_json)

    @defer
    def declaration(self) -> None:
        """Print the declaration in force as JSON, which `apply` accepts."""
        body = _call(load_fleet(self._path), "/declaration").body
        json.dump(body["declaration"], sys.stdout, indent=2)
        print()


def _list_changes(old: object, new: object, where: str) -> list[dict[str, object]]:
    if old == new:
        return []
    if not isinstance(old, dict) or not isinstance(new, dict):
        return [{"where": where, "old": old, "new": new}]
    changes = []
    for key in sorted(old.keys() | new.keys()):
        path = f"{where}.{key}" if where else key
        changes += _list_changes(old.get(key), new.get(key), path)
    return changes
