import asyncio
import json
import os
import sys
import unittest
from pathlib import Path

from fulmarward_standins.harness import (
    OPERATOR_TOKEN,
    PEER_SECRET,
    FleetPlan,
    call_json,
    check_golden,
    make_declaration,
    make_team_key,
    start_fleet,
    wait_until,
)

_GOLDEN = Path(__file__).parent / "golden"


class _Terminal:
    """Runs `fulmarctl` in the folder of a fleet and records its output."""

    def __init__(self, fleet):
        self.fleet, self.lines = fleet, []
        addresses = [item.operator_address for item in fleet.plan.instances]
        self._write_settings("fulmarctl.json", addresses, OPERATOR_TOKEN)
        self._write_settings("team.json", addresses, make_team_key("folha"))

    def _write_settings(self, name, addresses, token):
        token_file = self.fleet.folder / f"{name}.token"
        token_file.write_text(token)
        self.write(name, {"addresses": addresses, "token_file": str(token_file)})

    def write(self, name, value):
        (self.fleet.folder / name).write_text(json.dumps(value))

    async def execute(self, *words, user="marta"):
        """Return the output of a command with its exit status."""
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fulmarctl",
            *words,
            cwd=self.fleet.folder,
            env=os.environ | {"LOGNAME": user},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await child.communicate()
        return f"{output.decode()}exit {child.returncode}\n"

    async def run(self, *words, user="marta"):
        shown = await self.execute(*words, user=user)
        self.lines.append(f"$ fulmarctl {' '.join(words)}\n{shown}")


def _rename(declaration, region):
    centres = {name: {"region": region} for name in declaration["data_centres"]}
    return declaration | {"data_centres": centres}


class OperatorSessionTest(unittest.IsolatedAsyncioTestCase):
    async def test_session_of_an_operator(self):
        async with start_fleet(FleetPlan(applies_declaration=False)) as fleet:
            terminal = _Terminal(fleet)
            first = make_declaration(fleet.plan.targets)
            terminal.write("first.json", first)
            terminal.write("second.json", _rename(first, "lisboa"))
            terminal.write("wrong.json", first | {"teams": {"x": {"key_digests": 5}}})
            await terminal.run("validate", "wrong.json")
            await terminal.run("validate", "first.json")
            await terminal.run("apply", "wrong.json")
            await terminal.run("apply", "first.json")
            await terminal.run("apply", "first.json")
            await terminal.run("diff", "second.json")
            await terminal.run("apply", "second.json", user="joao")
            await terminal.run("apply", "first.json", "--base-epoch", "1")
            await terminal.run("rollback", "1")
            await terminal.run("rollback", "9")
            await terminal.run("history")
            await terminal.run("history", "--count", "none")
            await terminal.run("status", "--settings", "team.json")
            check_golden(self, _GOLDEN / "session.txt", "\n".join(terminal.lines))
            await self._race(fleet, terminal, first)
            await self._change_tokens(fleet)

    async def _race(self, fleet, terminal, first):
        # Two operators concurrently apply different files based on the same epoch. One
        # wins; the other's failure names the winner and the epoch, and its file is in
        # force on no instance.
        for user in ("marta", "joao"):
            terminal.write(f"{user}.json", _rename(first, user))
        shown = await asyncio.gather(
            *(
                terminal.execute(
                    "apply", f"{user}.json", "--base-epoch", "3", user=user
                )
                for user in ("marta", "joao")
            )
        )
        statuses = [text.rsplit(" ", 1)[1].strip() for text in shown]
        self.assertEqual(sorted(statuses), ["0", "51"], shown)
        winner = ("marta", "joao")[statuses.index("0")]
        self.assertIn(f"applied by {winner}", shown[statuses.index("51")])
        for instance in ("i1", "i2", "i3"):
            found = (await fleet.call_operator(instance, "/declaration")).body
            self.assertEqual(found["head"]["epoch"], 4)
            self.assertEqual(found["declaration"], _rename(first, winner))

    async def _change_tokens(self, fleet):
        # An operator token and the peer secrets are changed at run time. The new ones
        # are accepted within seconds, the old token no more, and an invalid file
        # changes nothing. A team's key is refused here, as are operator tokens and
        # peer secrets at the caller address.
        address = fleet.find_instance("i1").operator_address

        async def is_accepted(token, path="/status"):
            url = f"http://{address}{path}"
            return (await call_json(fleet.session, url, key=token)).status == 200

        files = fleet.folder
        (files / "peer-secrets").write_text("short")
        (files / "operator-tokens").write_text(f"{OPERATOR_TOKEN} token-number-2")
        log = fleet.processes["i1"].log

        async def is_refused():
            return "secrets_refused" in log.read_text()

        await wait_until(is_refused, "the wrong file to be noticed")
        self.assertFalse(await is_accepted("token-number-2"))
        (files / "peer-secrets").write_text(f"peer-secret-2 {PEER_SECRET}")
        (files / "operator-tokens").write_text("token-number-2")
        await wait_until(lambda: is_accepted("token-number-2"), "the new token")
        self.assertFalse(await is_accepted(OPERATOR_TOKEN))
        self.assertFalse(await is_accepted(make_team_key("folha")))
        for token in ("token-number-2", PEER_SECRET):
            result = await call_json(
                fleet.session, fleet.get_url("i1", "/v1/models"), key=token
            )
            self.assertEqual((result.status, result.body["result"]), (401, 1004))
        text = log.read_text()
        for secret in ("token-number-2", "peer-secret-2", OPERATOR_TOKEN, PEER_SECRET):
            self.assertNotIn(secret, text)
