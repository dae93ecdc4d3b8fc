import unittest
from types import SimpleNamespace

from fulmarward_core.routes import Route, RouteKind, RoutingConfiguration
from fulmarward_router.exchange import RequestState
from fulmarward_router.exchange._request_state import EndedAttempt, Run


def _make_state():
    route = Route(
        name="r",
        host="h",
        prefix="/",
        kind=RouteKind.STREAM,
        timeout_s=20.0,
        objective_s=0.5,
        pause_s=0.25,
        priority=5,
        shares=(),
        most_attempts=2,
        is_public=False,
        is_resumable=True,
    )
    return RequestState(
        request=None,
        headers={},
        body=b"",
        facts=None,
        configuration=RoutingConfiguration,
        route=route,
        team=None,
        service="s",
        urgency=5,
        class_urgency=55,
        arrived_at=0.0,
        deadline=20.0,
    )


class LongestPauseTest(unittest.TestCase):
    def test_pause_across_a_reroute_is_measured_as_a_whole(self):
        # Guards against a logged pause that is too short. The stream stalls for 0.2 s,
        # is rerouted around a killed target and continues 0.3 s later; if the reroute
        # restarted the measurement, only 0.3 s would be logged.
        state = _make_state()
        for now in (1.0, 1.04, 1.08, 1.58, 1.62):
            state.record_write(now=now)
        self.assertAlmostEqual(state.longest_pause_s, 0.5)
        self.assertEqual((state.first_event_at, state.last_write_at), (1.0, 1.62))


class EndedAttemptTest(unittest.TestCase):
    def test_log_says_which_runs_the_limit_counts(self):
        """Guards against a run at too many targets that the log does not show."""
        state = _make_state()
        state.request = {"answer": object()}
        cases = [
            # target, whether it has ended, whether it may have run, the limit
            ("a", False, True, "counted"),
            ("a", False, True, "its target has run it before"),
            ("b", True, True, "its target has ended"),
            ("c", False, False, "not run"),
        ]
        for name, has_ended, may_have_run, _ in cases:
            target = SimpleNamespace(name=name, process_name=name)
            run = Run(
                target=target,
                has_ended=has_ended,
            )
            if may_have_run:
                state.failed_runs.append(run)
            state.ended_attempts.append(
                EndedAttempt(
                    target=name, progress="events", may_have_run=may_have_run, run=run
                )
            )
        described = [each["limit"] for each in state.describe_attempts()]
        self.assertEqual(described, [limit for *_, limit in cases])
