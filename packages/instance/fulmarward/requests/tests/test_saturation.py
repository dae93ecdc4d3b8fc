import asyncio
import unittest

from fulmarward_standins.engine import answer_tokens
from fulmarward_standins.harness import (
    FleetPlan,
    InstancePlan,
    TargetPlan,
    start_fleet,
    wait_until,
)

_GROUPS = {
    "bulk": ("osservatorio", "bulk", 60_000, 40),
    "tight": ("folha", "normal", 900, 40),
    "urgent": ("folha", "urgent", 60_000, 20),
}


def _make_plan():
    return FleetPlan(
        instances=[
            InstancePlan(name=name, data_centre=data_centre)
            for name, data_centre in (("i1", "lx-alcantara"), ("i2", "lx-oriente"))
        ],
        targets=[TargetPlan(name="e1", slots=4), TargetPlan(name="e2", slots=4)],
    )


class SaturationTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_request_is_answered_or_refused_correctly(self):
        # Bulk requests fill all slots, then requests with a short deadline and urgent
        # ones arrive together. Every caller gets its own complete answer or a correct
        # statement that the request did not run. Urgent requests run before queued
        # bulk ones.
        async with start_fleet(_make_plan()) as fleet:
            for target in ("e1", "e2"):
                await fleet.control_target(target, token_ms=400)
            self.ends = []
            calls = [
                asyncio.create_task(self._call(fleet, group, number))
                for group, (*_, count) in _GROUPS.items()
                for number in range(count)
            ]
            total = len(calls)

            async def are_decided():
                return await self._count_decisions(fleet) >= total

            await wait_until(are_decided, "all requests to be admitted or refused")
            for target in ("e1", "e2"):
                await fleet.control_target(target, token_ms=10)
            outcomes = await asyncio.gather(*calls)
            entries = await fleet.read_ledgers()
        self._check_outcomes(outcomes, entries)
        self._check_order()

    async def _count_decisions(self, fleet):
        found = 0.0
        for name in ("i1", "i2"):
            text = (await fleet.call(name, "/metrics")).body
            for line in text.splitlines():
                if line.startswith("fulmarward_decisions") and 'kind="admit"' in line:
                    found += float(line.rsplit(" ", 1)[1])
        return found

    async def _call(self, fleet, group, number):
        team, urgency, deadline_ms, _ = _GROUPS[group]
        prompt = f"{group} {number} [8 tokens]"
        result = await fleet.call(
            "i1" if number % 2 else "i2",
            "/v1/completions",
            {"model": "summary", "prompt": prompt, "max_tokens": 16},
            team=team,
            headers={"X-Urgency": urgency, "X-Deadline-Ms": str(deadline_ms)},
        )
        if result.status == 200:
            self.ends.append(group)
        return prompt, result

    def _check_outcomes(self, outcomes, entries):
        ran = {entry["request"] for entry in entries if entry["event"] == "ran"}
        refused = 0
        for prompt, result in outcomes:
            request = result.headers["X-Request-ID"]
            if result.status == 200:
                text = result.body["choices"][0]["text"]
                self.assertEqual(text, "".join(answer_tokens(prompt, 16, 24)))
                continue
            self.assertNotIn("bulk", prompt, result.body)
            self.assertNotIn("urgent", prompt, result.body)
            if result.body["ran"] == "not_run":
                refused += 1
                self.assertNotIn(request, ran)
        self.assertGreater(refused, 0)

    def _check_order(self):
        def mean_position(group):
            positions = [index for index, name in enumerate(self.ends) if name == group]
            return sum(positions) / len(positions)

        self.assertLess(mean_position("urgent"), mean_position("bulk"))
