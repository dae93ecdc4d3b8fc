import unittest
from dataclasses import replace

from hypothesis import given, strategies as st

from fulmarward_core.codec.tests.calls import count_calls
from fulmarward_core.routes import (
    CallerLimits,
    KeyWaiver,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceShare,
    Team,
    choose_service,
    find_class_urgency,
    find_key_waiver,
    find_route,
    find_team,
    find_urgency,
    list_class_services,
    list_urgencies,
)


def make_route(prefix, **changes):
    values = {
        "name": prefix,
        "host": "h.example",
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "timeout_s": 1.0,
        "objective_s": 0.1,
        "pause_s": 0.2,
        "priority": 3,
        "shares": (ServiceShare(service="one", weight=1.0),),
        "most_attempts": 2,
        "is_public": False,
        "is_resumable": False,
        **changes,
    }
    return Route(**values)


_CONFIGURATION = RoutingConfiguration(
    version=1,
    routes={"h.example": (make_route("/a/b/"), make_route("/a/"))},
    services={},
    limits=CallerLimits(header_bytes=1, body_bytes=1, header_s=1, idle_s=1),
    teams_by_key={"k": Team(name="t", priority=1)},
    requires_team_key=True,
)


class _CountedPath(str):
    """A path each comparison of which is a call."""

    __slots__ = ()

    def startswith(self, prefix):
        return super().startswith(prefix)


def _replace_routes(prefixes):
    """Return the configuration with these prefixes, the longest first."""
    routes = [make_route(p, name=str(n)) for n, p in enumerate(prefixes)]
    routes.sort(key=lambda route: -len(route.prefix))
    return replace(_CONFIGURATION, routes={"h.example": tuple(routes)})


class KeyWaiverTest(unittest.TestCase):
    def test_only_public_routes_and_configurations_without_teams_need_no_key(self):
        """Guards against a version without teams that lets everybody in."""
        without_list = replace(_CONFIGURATION, teams_by_key={}, requires_team_key=False)
        empty_list = replace(without_list, requires_team_key=True)
        cases = [
            # configuration, is the route public, waiver
            (_CONFIGURATION, False, None),
            (empty_list, False, None),
            (without_list, False, KeyWaiver.NO_TEAMS),
            *((c, True, KeyWaiver.PUBLIC_ROUTE) for c in (_CONFIGURATION, empty_list)),
        ]
        for configuration, is_public, expected in cases:
            with self.subTest(expected=expected, is_public=is_public):
                route = make_route("/a/", is_public=is_public)
                self.assertIs(find_key_waiver(configuration, route), expected)


class RoutesTest(unittest.TestCase):
    def test_many_routes_do_not_slow_each_request(self):
        """Guards against requests that compare their path with thousands of routes."""
        configuration = _replace_routes([f"/longer/{n}/" for n in range(2000)] + ["/"])

        def find():
            return find_route(configuration, host="h.example", path=_CountedPath("/x"))

        self.assertEqual(find().prefix, "/")
        self.assertLess(count_calls(find), 100)

    @given(
        prefixes=st.lists(st.text("/ab", max_size=5), max_size=12),
        path=st.text("/ab", max_size=8),
    )
    def test_route_is_the_first_with_the_longest_prefix(self, prefixes, path):
        configuration = _replace_routes(prefixes)
        matching = [
            route
            for route in configuration.routes["h.example"]
            if path.startswith(route.prefix)
        ]
        found = find_route(configuration, host="h.example", path=path)
        self.assertIs(found, matching[0] if matching else None)

    def test_longest_matching_prefix_is_chosen(self):
        cases = [
            ("h.example", "/a/b/c", "/a/b/"),
            ("H.Example:80", "/a/x", "/a/"),
            ("h.example", "/a", None),
            ("h.example", "/", None),
            ("other.example", "/a/x", None),
            ("", "/a/x", None),
        ]
        for host, path, expected in cases:
            with self.subTest(host=host, path=path):
                route = find_route(_CONFIGURATION, host=host, path=path)
                self.assertEqual(route and route.prefix, expected)

    def test_team_urgency_overrides_route_urgency(self):
        team = find_team(_CONFIGURATION, "k")
        self.assertEqual(team.name, "t")
        self.assertIsNone(find_team(_CONFIGURATION, "no"))
        self.assertIsNone(find_team(_CONFIGURATION, None))
        route = make_route("/a/")
        self.assertEqual(find_urgency(route, team), 1)
        self.assertEqual(find_urgency(route, Team(name="t", priority=None)), 3)
        self.assertEqual(find_urgency(route, None), 3)

    def test_services_have_classes_by_their_routes(self):
        """Guards against new behaviour where all requests are equally urgent."""
        one, two = make_route("/a/"), make_route("/b/", priority=5)
        other = make_route("/c/", shares=(ServiceShare(service="two", weight=1.0),))
        cases = [
            ("one route", (one,), None, (33,)),
            ("equal routes", (one, replace(two, priority=3)), None, (33,)),
            ("routes", (two, one, other), None, (33, 55)),
            ("no key is required", (one,), 0, (33,)),
            ("beyond the least urgent", (replace(one, priority=9),), 12, (99,)),
        ]
        for name, routes, priority, expected in cases:
            with self.subTest(name):
                configuration = replace(
                    _CONFIGURATION,
                    routes={"h.example": routes},
                    teams_by_key={"k": Team(name="t", priority=priority)},
                    requires_team_key=False,
                )
                self.assertEqual(list_urgencies(configuration, "one"), expected)
                classes = {"one"} if len(expected) > 1 else set()
                self.assertEqual(list_class_services(configuration), classes)
                self.assertEqual(list_urgencies(configuration, "no"), ())

    def test_teams_order_classes_and_make_none_of_equal_routes(self):
        """Guards against new behaviour where routes have equal priorities."""
        one, two = make_route("/a/"), make_route("/b/", priority=5)
        public = replace(one, prefix="/c/", is_public=True)
        cases = [
            # routes, priorities of teams, urgencies
            ((one,), (1,), (13,)),
            ((one, two), (1,), (13, 15)),
            ((one, two), (0, 1), (3, 5, 13, 15)),
            ((one,), (0, 1), (3, 13)),
            ((one,), (1, None), (13, 33)),
            ((one, public), (1,), (13, 33)),
        ]
        for routes, priorities, expected in cases:
            with self.subTest(expected=expected):
                teams = {str(p): Team(name="t", priority=p) for p in priorities}
                configuration = replace(
                    _CONFIGURATION,
                    routes={"h.example": routes},
                    teams_by_key=teams,
                    requires_team_key=True,
                )
                self.assertEqual(list_urgencies(configuration, "one"), expected)
                classes = {"one"} if two in routes else set()
                self.assertEqual(list_class_services(configuration), classes)

    def test_route_decides_between_requests_of_equally_urgent_teams(self):
        """Guards against routes that have no effect where every team has a priority."""
        first, second = make_route("/a/", priority=0), make_route("/b/", priority=2)
        urgent, other = Team(name="u", priority=0), Team(name="o", priority=1)
        ordered = [(first, urgent), (second, urgent), (first, other), (second, other)]
        found = [find_class_urgency(route, team) for route, team in ordered]
        self.assertEqual(found, sorted(set(found)))
        self.assertEqual(find_class_urgency(second, None), 22)

    def test_split_follows_weights_and_is_deterministic(self):
        shares = (
            ServiceShare(service="one", weight=90.0),
            ServiceShare(service="two", weight=10.0),
        )
        route = make_route("/a/", shares=shares)
        chosen = [choose_service(route, f"r{number}") for number in range(4000)]
        self.assertAlmostEqual(chosen.count("two") / 4000, 0.1, delta=0.02)
        self.assertEqual(choose_service(route, "r1"), choose_service(route, "r1"))

    def test_retries_allowed_by_route_kind(self):
        cases = [
            (RouteKind.IDEMPOTENT, False, True),
            (RouteKind.NON_IDEMPOTENT, True, False),
            (RouteKind.STREAM, False, False),
            (RouteKind.STREAM, True, True),
        ]
        for kind, is_resumable, expected in cases:
            with self.subTest(kind=kind, is_resumable=is_resumable):
                route = make_route("/a/", kind=kind, is_resumable=is_resumable)
                self.assertEqual(route.may_retry, expected)
