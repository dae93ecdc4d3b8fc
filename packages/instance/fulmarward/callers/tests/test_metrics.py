import unittest

from fulmarward_standins.harness import (
    FleetPlan,
    InstancePlan,
    make_team_key,
    start_fleet,
)


async def _stream(fleet):
    body = {"model": "lookup", "prompt": "x [3 tokens]", "stream": True}
    headers = {"Authorization": f"Bearer {make_team_key('folha')}"}
    url = fleet.get_url("i1", "/v1/completions")
    async with fleet.session.post(url, json=body, headers=headers) as response:
        await response.read()


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_requests_are_counted_in_the_metrics(self):
        instances = [InstancePlan(name="i1", data_centre="lx-alcantara")]
        async with start_fleet(FleetPlan(instances=instances)) as fleet:
            await _stream(fleet)
            refused = await fleet.call("i1", "/v1/completions", {"model": "lookup"})
            self.assertEqual(refused.status, 400)
            result = await fleet.call("i1", "/metrics")
        lines = result.body.splitlines()
        expected = [
            'fulmarward_requests_total{kind="completion",result="0"} 1',
            'fulmarward_requests_total{kind="refused",result="1001"} 1',
            'fulmarward_first_token_seconds_count{pipeline="lookup"} 1.0',
            'fulmarward_request_seconds_count{pipeline="lookup"} 1.0',
            "fulmarward_configuration_epoch 1",
            "fulmarward_open_requests 0",
        ]
        self.assertEqual([line for line in expected if line not in lines], [])
