import time
import unittest
from types import SimpleNamespace
from unittest import mock

import aiohttp
from aiohttp import web
from aiohttp.test_utils import RawTestServer

from fulmarward_core.fleet import ServiceSpec
from fulmarward_core.routes import CallerLimits, RoutingConfiguration
from fulmarward_core.routes.tests.test_decisions import make_route
from fulmarward_router.exchange import CallerHandler, _caller_handler
from fulmarward_router.ports import CallerFacts, Row
from fulmarward_router.state import ConfigurationHolder


def _decode(row):
    limits = CallerLimits(header_bytes=9999, body_bytes=9999, header_s=1.0, idle_s=9.0)
    yield
    return RoutingConfiguration(
        version=row.version, routes={}, services={}, limits=limits
    )


class _Dialect:
    def __init__(self, *, deadline_s=1.0):
        self._deadline_s = deadline_s

    def read_caller(self, headers):
        return CallerFacts(
            request_id="a",
            deadline_s=self._deadline_s,
            key=None,
            last_event=None,
            prompt_tokens=0,
            max_answer_tokens=0,
            hinted_answer_tokens=None,
            relayed_by=None,
            runs_before=0,
            is_last_resort=False,
        )


class AbandonedResponseTest(unittest.IsolatedAsyncioTestCase):
    async def fail_to_write(self, request, error, *, has_begun):
        """Return the response of a handler in which an error is raised."""
        handler = CallerHandler(
            dialect=_Dialect(),
            configuration=SimpleNamespace(),
            engines=SimpleNamespace(),
            plain=SimpleNamespace(),
            find_budget=lambda service: None,
            read_clock=time.monotonic,
            is_stopping=lambda: False,
            observe=lambda state, outcome, took_s: None,
        )

        async def fail(request, arrived_at):
            if has_begun:
                request["answer"] = answer = web.StreamResponse()
                await answer.prepare(request)
                await answer.write(b"event")
            raise error

        with (
            mock.patch.object(handler, "_parse_request", fail),
            mock.patch.object(_caller_handler, "log_event"),
        ):
            return await handler.handle(request)

    async def read_status(self, error, *, has_begun):
        """Return the status that a caller gets, `None` if its response is cut."""

        async def handle(request):
            return await self.fail_to_write(request, error, has_begun=has_begun)

        async with RawTestServer(handle) as server, aiohttp.ClientSession() as session:
            try:
                async with session.get(server.make_url("/")) as answer:
                    await answer.read()
                    return answer.status
            except aiohttp.ClientError:
                return None

    async def test_error_leaves_no_traceback_and_no_whole_response(self):
        """Guards against tracebacks outside the log, and a cut taken for an end."""
        cases = [
            (ConnectionResetError("gone"), False, None),
            (ConnectionResetError("gone"), True, None),
            (ValueError("fault"), False, 500),
            (ValueError("fault"), True, None),
        ]
        for error, has_begun, status in cases:
            with self.subTest(error=error, has_begun=has_begun):
                with self.assertNoLogs("aiohttp.server"):
                    found = await self.read_status(error, has_begun=has_begun)
                self.assertEqual(found, status)


class DeadlineTest(unittest.IsolatedAsyncioTestCase):
    async def request(self, deadline_s):
        """Return the status of a request, and how many seconds a target gets for it."""
        found = []

        async def serve(state):
            found.append(state.deadline - state.arrived_at)
            return web.Response()

        route = make_route("/a/", timeout_s=90.0, is_public=True)
        configuration = RoutingConfiguration(
            version=1,
            routes={"127.0.0.1": (route,)},
            services={"one": ServiceSpec(name="one", engine=None)},
            limits=CallerLimits(
                header_bytes=9999, body_bytes=9999, header_s=1.0, idle_s=9.0
            ),
        )
        handler = CallerHandler(
            dialect=_Dialect(deadline_s=deadline_s),
            configuration=SimpleNamespace(
                current=configuration,
                version=1,
                reported_version=1,
                confirmed_at=time.monotonic(),
                find_outdated_s=lambda now: 0.0,
            ),
            engines=SimpleNamespace(),
            plain=SimpleNamespace(serve=serve),
            find_budget=lambda service: mock.Mock(),
            read_clock=time.monotonic,
            is_stopping=lambda: False,
            observe=lambda state, outcome, took_s: None,
        )
        async with RawTestServer(handler.handle) as server:
            async with aiohttp.ClientSession() as session:
                async with session.get(server.make_url("/a/x")) as answer:
                    return answer.status, found

    async def test_request_without_time_left_is_rejected_at_once(self):
        """Guards against a deadline of 0 that counts as none."""
        for deadline_s, expected in [
            (0.0, (503, [])),
            (-1.0, (503, [])),
            (0.25, (200, [0.25])),
            (None, (200, [_caller_handler.DEFAULT_TIMEOUT_S])),
        ]:
            with self.subTest(deadline_s=deadline_s):
                status, found = await self.request(deadline_s)
                rounded = [round(seconds, 6) for seconds in found]
                self.assertEqual((status, rounded), expected)


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
        await holder.apply_row(row, source="store")
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
        await holder.apply_row(row, source="peer")
        self.assertEqual(await self.request_status(holder), 404)

    async def test_refusal_is_logged_with_its_request_and_what_it_was_decided_by(self):
        """A denied request has no state; without these values it cannot be traced."""
        holder = ConfigurationHolder(decode=_decode)
        row = Row(key="config", value=b"", version=7)
        await holder.apply_row(row, source="store")
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
