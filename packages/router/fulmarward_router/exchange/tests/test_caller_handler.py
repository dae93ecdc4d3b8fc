import time
import unittest
from types import SimpleNamespace
from unittest import mock

import aiohttp
from aiohttp.test_utils import RawTestServer

from fulmarward_core.routes import CallerLimits, RoutingConfiguration
from fulmarward_router.exchange import CallerHandler, _caller_handler
from fulmarward_router.ports import CallerFacts, Row
from fulmarward_router.state import ConfigurationHolder


def _decode(row):
    limits = CallerLimits(header_bytes=9999, body_bytes=9999, header_s=1.0, idle_s=9.0)
    return RoutingConfiguration(
        version=row.version, routes={}, services={}, limits=limits
    )


class _Dialect:
    def read_caller(self, headers):
        return CallerFacts(
            request_id="a",
            deadline_s=1.0,
            key=None,
            last_event=None,
            prompt_tokens=0,
            max_answer_tokens=0,
            hinted_answer_tokens=None,
            relayed_by=None,
            runs_before=0,
            is_last_resort=False,
        )


class UnknownRouteTest(unittest.IsolatedAsyncioTestCase):
    async def request_status(self, configuration):
        """Return the status of a request for an unknown route."""
        handler = CallerHandler(
            dialect=_Dialect(),
            configuration=configuration,
            engines=SimpleNamespace(),
            plain=SimpleNamespace(),
            find_budget=lambda service: None,
            read_clock=time.monotonic,
            is_stopping=lambda: False,
            accepts_streams=lambda: True,
            observe=lambda state, outcome, took_s: None,
        )
        async with RawTestServer(handler.handle) as server:
            async with aiohttp.ClientSession() as session:
                async with session.get(server.make_url("/nowhere")) as answer:
                    return answer.status

    async def test_unknown_route_gets_404_only_from_an_up_to_date_configuration(self):
        """Guards against a final 404 for a route that a newer configuration has."""
        holder = ConfigurationHolder(decode=_decode)
        row = Row(key="config", value=b"", version=7)
        holder.apply_row(row, source="store", now=time.monotonic())
        cases = [
            # seconds since the last confirmation, a peer's version, expected status
            (0.1, 7, 404),
            (2.5, 7, 503),
            (0.1, 8, 503),
        ]
        for age_s, reported, status in cases:
            with self.subTest(age_s=age_s, reported=reported):
                holder.confirmed_at = time.monotonic() - age_s
                holder.record_reported(reported, at=time.monotonic())
                self.assertEqual(await self.request_status(holder), status)
        row = Row(key="config", value=b"", version=8)
        holder.apply_row(row, source="peer", now=time.monotonic())
        self.assertEqual(await self.request_status(holder), 404)

    async def test_refusal_is_logged_with_its_request_and_what_it_was_decided_by(self):
        """A denied request has no state; without these values it cannot be traced."""
        holder = ConfigurationHolder(decode=_decode)
        row = Row(key="config", value=b"", version=7)
        holder.apply_row(row, source="store", now=time.monotonic())
        cases = [
            # seconds since the last confirmation, a peer's version, what is logged
            (0.5, 7, 0.5),
            (0.5, 8, 0.5),
            (float("inf"), 8, None),
        ]
        for age_s, reported, logged in cases:
            with self.subTest(age_s=age_s, reported=reported):
                holder.confirmed_at = time.monotonic() - age_s
                holder.record_reported(reported, at=time.monotonic())
                with mock.patch.object(_caller_handler, "log_event") as log_event:
                    await self.request_status(holder)
                line = log_event.call_args_list[0]
                self.assertEqual(line.args, ("request_refused",))
                self.assertEqual(line.kwargs["request"], "a")
                self.assertEqual(line.kwargs["configuration"], 7)
                self.assertEqual(line.kwargs["reported"], reported)
                if logged is None:
                    self.assertIsNone(line.kwargs["confirmed_s_ago"])
                else:
                    self.assertAlmostEqual(
                        line.kwargs["confirmed_s_ago"], logged, delta=0.3
                    )
