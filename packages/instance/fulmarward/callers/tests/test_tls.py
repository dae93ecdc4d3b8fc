import json
import ssl
import subprocess
import sys
import unittest

import aiohttp

from fulmarward_standins.harness import (
    FleetPlan,
    InstancePlan,
    make_team_key,
    start_fleet,
    wait_until,
)


def _make_certificate(folder):
    """Create a certificate and key for loopback; return their paths."""
    certificate, key = folder / "certificate.pem", folder / "key.pem"
    command = ["openssl", "req", "-x509", "-newkey", "ec", "-days", "2", "-nodes"]
    command += ["-pkeyopt", "ec_paramgen_curve:prime256v1", "-subj", "/CN=loopback"]
    command += ["-addext", "subjectAltName=IP:127.0.0.1"]
    command += ["-out", str(certificate), "-keyout", str(key)]
    subprocess.run(command, check=True, capture_output=True)
    return certificate, key


class TlsTest(unittest.IsolatedAsyncioTestCase):
    async def test_callers_reach_an_instance_by_https_only(self):
        plan = FleetPlan(
            instances=[InstancePlan(name="i1", data_centre="lx-alcantara")],
        )
        async with start_fleet(plan) as fleet:
            certificate, key = _make_certificate(fleet.folder)
            await fleet.processes["i1"].stop()
            await self._start_with_tls(fleet, certificate, key)
            context = ssl.create_default_context(cafile=str(certificate))
            body = await self._discover(fleet, context)
            self.assertTrue(body["addresses"][0].startswith("https://127.0.0.1:"))
            plain = await fleet.call("i1", "/health")
            self.assertNotEqual(plain.status, 200)
            self._ask_as_operator(fleet, certificate)

    async def _start_with_tls(self, fleet, certificate, key):
        plan = fleet.find_instance("i1")
        settings = fleet.make_settings(plan)
        settings["tls"] = {
            "certificate_file": str(certificate),
            "key_file": str(key),
        }
        await fleet.start_instance("i1", settings)

    def _ask_as_operator(self, fleet, certificate):
        settings = fleet.folder / "fulmarctl.json"
        content = {
            "addresses": [fleet.find_instance("i1").operator_address],
            "token_file": str(fleet.folder / "operator-tokens"),
            "authority_file": str(certificate),
        }
        settings.write_text(json.dumps(content))
        command = [sys.executable, "-m", "fulmarctl", "status", "--json"]
        result = subprocess.run(
            [*command, "--settings", str(settings)], capture_output=True, check=False
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        (status,) = json.loads(result.stdout)["instances"]
        self.assertEqual(status["name"], "i1")

    async def _discover(self, fleet, context):
        url = fleet.get_url("i1", "/discovery").replace("http:", "https:")
        headers = {"Authorization": f"Bearer {make_team_key('folha')}"}

        async def ask():
            try:
                async with fleet.session.get(
                    url, headers=headers, ssl=context
                ) as response:
                    return await response.json() if response.status == 200 else None
            except aiohttp.ClientError:
                return None

        return await wait_until(ask, "discovery over TLS")
