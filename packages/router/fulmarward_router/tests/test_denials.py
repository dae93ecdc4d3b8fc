import unittest
from types import SimpleNamespace

import orjson
from multidict import MultiDict

from fulmarward_router._lookup import make_operator_handler
from fulmarward_router.state import MAX_REQUEST_ID_BYTES, Denial, RecentDenials
from fulmarward_router.state._denials import DENIALS_KEPT


def make_denial(request_id, *, denied_at):
    return Denial(
        request_id=request_id,
        denied_at=denied_at,
        service="pool",
        urgency=0,
        cause="full",
        shortage=None,
        waited_s=0.0,
        estimate_s=None,
        return_s=0.3,
        is_return_promised=False,
        is_relayed=False,
    )


class RecentDenialsTest(unittest.TestCase):
    def test_oldest_are_evicted_and_newest_come_first(self):
        """Guards against memory that grows, and a loss that is taken for no record."""
        denials = RecentDenials(since=0.0)
        for number in range(DENIALS_KEPT + 10):
            denials.record(make_denial(f"r{number % 2}", denied_at=float(number)))
        for invalid in ("", "x" * (MAX_REQUEST_ID_BYTES + 1), "\udcff"):
            denials.record(make_denial(invalid, denied_at=999.0))
        ages = [item["denied_s_ago"] for item in denials.describe("r0", now=1000.0)]
        self.assertEqual(len(ages), DENIALS_KEPT // 2)
        self.assertEqual((ages[0], ages), (480.0, sorted(ages)))
        self.assertEqual(denials.measure_coverage_s(now=1000.0), 991.0)


class DenialsHandlerTest(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_parameters_are_refused_with_what_was_expected(self):
        """Guards against a mistyped call that is taken for a request without record."""
        answer = make_operator_handler(
            metrics=None,
            refresh=None,
            describe=None,
            describe_denials=lambda request_id: [request_id],
            lift_crash_pattern=None,
        )
        long_id = "é" * (MAX_REQUEST_ID_BYTES // 2)
        cases = [
            ([("request", long_id)], 200, long_id),
            ([], 400, "expected request=ID of 1 to 256 bytes, found 0 parameters"),
            ([("request", "")], 400, "found 0 bytes"),
            ([("request", long_id + "x")], 400, "found 257 bytes"),
            ([("request", "a"), ("request", "b")], 400, "found 2 parameters"),
            ([("request", "\udcff")], 400, "found invalid UTF-8"),
        ]
        for query, status, text in cases:
            with self.subTest(query=query):
                request = SimpleNamespace(
                    path="/denials", method="GET", query=MultiDict(query)
                )
                found = await answer(request)
                self.assertEqual(found.status, status)
                self.assertIn(text, str(orjson.loads(found.body)))
