import unittest

from hypothesis import given, strategies as st

from fulmarward_core.codec.tests.calls import count_calls
from fulmarward_core.overlay import FULL_MESH
from fulmarward_router.mesh import (
    DataCentreReport,
    FleetReport,
    Heartbeat,
    InstanceIdentity,
    InstanceReport,
    MemberTable,
    decode_message,
    encode_message,
)
from fulmarward_router.mesh._members import (
    FORGET_S,
    FRESH_S,
    HEARTBEAT_INTERVAL_S,
    SUBSCRIBER_INTERVAL_S,
)
from fulmarward_router.mesh._messages import MemberReport


def make_heartbeat(name="peer", boot=1, **changes):
    values = {
        "sender": InstanceIdentity(
            name=name,
            boot=boot,
            data_centre="a",
            peer_address="10.0.0.1:1",
            caller_address="10.0.0.1:2",
        ),
        "is_ready": True,
        "is_leaving": False,
        "configuration_version": 1,
        "configuration_age_ms": 10,
        "targets_version": 1,
        "targets_age_ms": 10,
        "is_store_reachable": True,
        "loads": (),
        "losses": (),
        "refusing": (),
        "sees_slow_streams": False,
        "paces": (),
        **changes,
    }
    return Heartbeat(**values)


class MemberTableTest(unittest.TestCase):
    def setUp(self):
        self.table = MemberTable(own=make_heartbeat("own").sender)

    def test_only_ready_instances_are_listed_for_callers(self):
        cases = [
            ("ready", {}, True),
            ("not ready", {"is_ready": False}, False),
            ("leaving", {"is_leaving": True}, False),
        ]
        for name, changes, expected in cases:
            with self.subTest(name):
                self.table.merge_heartbeat(make_heartbeat(**changes), now=0.0)
                self.assertEqual(bool(self.table.list_ready(now=0.1)), expected)

    def test_silent_instance_is_not_listed_and_removed_later(self):
        # An instance loses power. Callers must soon not be sent to it, but it is still
        # dialled, as it may come back at the same address.
        self.table.merge_heartbeat(make_heartbeat(), now=0.0)
        self.assertEqual(self.table.list_ready(now=FRESH_S + 0.1), [])
        self.table.forget_silent(now=FRESH_S + 0.1)
        self.assertEqual(len(self.table.list_all()), 1)
        self.table.forget_silent(now=FORGET_S + 0.1)
        self.assertEqual(self.table.list_all(), [])

    def test_heartbeat_of_an_earlier_start_is_ignored(self):
        # After a restart, a late heartbeat of the former process arrives, which says
        # that it is leaving.
        self.table.merge_heartbeat(make_heartbeat(boot=2), now=0.0)
        self.table.merge_heartbeat(make_heartbeat(boot=1, is_leaving=True), now=0.1)
        self.assertEqual(len(self.table.list_ready(now=0.2)), 1)

    def test_process_has_ended_once_a_later_start_of_its_instance_is_known(self):
        # Only a later start time proves it, as silence may be a partition.
        self.table.merge_heartbeat(make_heartbeat(boot=2), now=0.0)
        self.assertTrue(self.table.has_ended("peer", 1))
        self.assertFalse(self.table.has_ended("peer", 2))
        self.assertFalse(self.table.has_ended("unheard-of", 1))
        self.assertTrue(self.table.has_ended("own", 0))
        self.assertFalse(self.table.has_ended("own", 1))

    def test_killed_instance_is_detected_by_the_end_of_its_link(self):
        # The link of a killed process ends at once, while in a large fleet its
        # heartbeats are only missed after seconds.
        self.table.merge_heartbeat(make_heartbeat(), now=0.0)
        self.table.note_link_lost("peer", now=0.1)
        self.assertEqual(self.table.list_ready(now=0.1), [])
        self.table.merge_heartbeat(make_heartbeat(), now=0.2)
        self.assertEqual(len(self.table.list_ready(now=0.3)), 1)

    def test_share_that_is_heard_leaves_out_those_that_left(self):
        """Guards against a part of the fleet that acts for the whole."""
        for name in ("peer", "silent", "leaving"):
            heartbeat = make_heartbeat(name, is_leaving=name == "leaving")
            self.table.merge_heartbeat(heartbeat, now=0.0)
        self.assertEqual(self.table.find_reachable_share(now=0.1), 1.0)
        now = FRESH_S + 0.1
        self.table.merge_heartbeat(make_heartbeat("peer"), now=now)
        self.assertEqual(self.table.find_reachable_share(now=now), 2 / 3)

    def test_large_fleet_has_longer_heartbeat_intervals_and_timeouts(self):
        few = self.table.heartbeat_interval_s
        for number in range(79):
            self.table.merge_heartbeat(make_heartbeat(name=f"peer-{number}"), now=0.0)
        self.assertGreater(self.table.heartbeat_interval_s, few)
        self.assertGreaterEqual(self.table.idle_interval_s, 2 * few)
        self.assertEqual(
            len(self.table.list_ready(now=2.5 * self.table.idle_interval_s)), 79
        )

    def test_heartbeat_interval_is_cached_while_no_instance_is_added(self):
        # The interval was computed over all instances for each heartbeat on each link,
        # and several times for each list of fresh instances. In a fleet of 79 this was
        # a tenth of all calls of an instance, a hub or not.
        for number in range(79):
            self.table.merge_heartbeat(make_heartbeat(name=f"peer-{number}"), now=0.0)
        self.assertGreater(self.table.heartbeat_interval_s, HEARTBEAT_INTERVAL_S)
        self.table.merge_heartbeat(
            make_heartbeat(name="peer-7", is_leaving=True), now=0.1
        )
        self.assertLess(count_calls(lambda: self.table.heartbeat_interval_s), 5)
        address = make_heartbeat().sender.peer_address
        find = self.table.find_data_centre
        self.assertEqual(find(address), "a")
        self.assertLess(count_calls(lambda: find("10.0.0.9:9")), 5)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 40),
                st.integers(0, 2),
                st.sampled_from("abc"),
                st.integers(0, 5),
                st.sampled_from(["heartbeat", "discovered", "lost", "silent"]),
            ),
            max_size=80,
        )
    )
    def test_cached_values_equal_those_computed_from_all_members(self, steps):
        table = MemberTable(own=make_heartbeat("own").sender)
        for index, (number, boot, centre, port, step) in enumerate(steps):
            now = index * 2.0
            sender = InstanceIdentity(
                name=f"peer-{number}",
                boot=boot,
                data_centre=centre,
                peer_address=f"10.0.0.1:{port}",
                caller_address="10.0.0.1:2",
            )
            if step == "heartbeat":
                table.merge_heartbeat(make_heartbeat(sender=sender), now=now)
            elif step == "discovered":
                table.merge_members([sender], now=now)
            elif step == "lost":
                table.note_link_lost(sender.name, now=now)
            else:
                table.forget_silent(now=now)
            others = [member.identity for member in table.list_all()]
            linked = len(others)
            nearby = sum(item.data_centre == "a" for item in others)
            has_hubs = linked >= FULL_MESH and nearby >= FULL_MESH
            self.assertEqual(table.has_hubs, has_hubs)
            if linked >= FULL_MESH:
                linked = nearby
            interval_s = HEARTBEAT_INTERVAL_S * max(1.0, (linked + 1) / FULL_MESH)
            if has_hubs:
                interval_s = SUBSCRIBER_INTERVAL_S
            self.assertEqual(table.heartbeat_interval_s, interval_s)
            for address in {f"10.0.0.1:{number}" for number in range(6)}:
                found = [i.data_centre for i in others if i.peer_address == address]
                expected = found[0] if found else None
                self.assertEqual(table.find_data_centre(address), expected)

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 6),
                st.integers(0, 1),
                st.sampled_from(
                    ["ready", "leaving", "discovered", "hub", "lost", "silent"]
                ),
                st.sampled_from([0.0, 0.1, 0.7, 2.0, 50.0]),
            ),
            max_size=60,
        )
    )
    def test_cached_view_equals_a_new_one_at_any_time(self, steps):
        """Guards against an instance that counts as fresh for too long or too short."""
        table, now = MemberTable(own=make_heartbeat("own").sender), 0.0
        for number, boot, step, pause_s in steps:
            now += pause_s
            heartbeat = make_heartbeat(
                f"peer-{number}", boot, is_leaving=step == "leaving"
            )
            if step in ("ready", "leaving"):
                table.merge_heartbeat(heartbeat, now=now)
            elif step == "discovered":
                table.merge_members([heartbeat.sender], now=now)
            elif step == "hub":
                instance = _make_instance_report(heartbeat.sender.name, boot)
                table.merge_data_centre(_make_data_centre_report(instance), now=now)
            elif step == "lost":
                table.note_link_lost(heartbeat.sender.name, now=now)
            else:
                table.forget_silent(now=now)
            for at in (now, now + 0.05):
                expected = table._make_view(at)
                fresh = {m.identity.name for m in table.list_fresh(now=at)}
                self.assertEqual(fresh, set(expected.fresh))
                self.assertEqual(
                    table.list_duty_candidates(now=at), expected.duty_candidates
                )
                self.assertEqual(table.list_nodes(now=at), expected.nodes)
                self.assertEqual(table.count_instances(now=at), 1 + len(fresh))

    def test_loss_at_a_hub_counts_until_the_next_heartbeat(self):
        """Guards against an instance that is listed for as long as it may be silent."""
        heartbeat = make_heartbeat("peer")
        lost = MemberReport(
            identity=heartbeat.sender,
            is_alive=False,
            is_ready=False,
            is_leaving=False,
            is_store_reachable=False,
        )
        report = FleetReport(
            heartbeat=make_heartbeat("hub"),
            is_full=True,
            members=(lost,),
            **dict.fromkeys(("ages", "loads", "included", "losses", "refusing"), ()),
        )
        self.table.merge_heartbeat(heartbeat, now=0.0)
        self.table.merge_fleet_report(report, now=0.1)
        self.assertEqual(self.table.list_lost(), {"peer"})
        self.assertEqual(self.table.lost_revision, 1)
        self.table.merge_heartbeat(heartbeat, now=0.2)
        self.table.merge_fleet_report(report, now=0.3)
        self.assertEqual(self.table.list_lost(), frozenset())

    def test_choice_of_links_is_cached_while_nothing_changes(self):
        """Guards against an iteration over all members in each round."""
        for number in range(79):
            self.table.merge_heartbeat(make_heartbeat(f"peer-{number}"), now=0.0)
        self.table.list_links(may_be_hub=True, now=0.1)
        self.table.merge_heartbeat(make_heartbeat("peer-7"), now=0.2)
        choose = lambda: (  # noqa: E731
            self.table.list_links(may_be_hub=True, now=0.3),
            self.table.is_hub(may_be_hub=True, now=0.3),
            self.table.list_duty_candidates(now=0.3),
        )
        choose()
        self.assertLess(count_calls(choose), 20)

    def test_own_name_is_not_added(self):
        self.table.merge_heartbeat(make_heartbeat(name="own"), now=0.0)
        self.table.merge_members([make_heartbeat(name="own").sender], now=0.0)
        self.assertEqual(self.table.list_all(), [])
        self.assertEqual(self.table.count_instances(now=0.0), 1)


def _make_instance_report(name="far", boot=1, **changes):
    values = {
        "age_ms": 200,
        "is_alive": True,
        "is_ready": True,
        "is_leaving": False,
        "is_store_reachable": True,
        **changes,
    }
    return InstanceReport(name=name, boot=boot, **values)


def _make_data_centre_report(*instances):
    return DataCentreReport(data_centre="b", instances=instances, loads=(), paces=())


class DataCentreReportTest(unittest.TestCase):
    """Reports of a hub on a data centre to which there are no links."""

    def setUp(self):
        self.table = MemberTable(own=make_heartbeat("own").sender)
        far = make_heartbeat("far").sender
        self.table.merge_members([far], now=0.0)

    def _list_ready(self, now):
        return [member.identity.name for member in self.table.list_ready(now=now)]

    def test_instance_reported_by_a_hub_is_listed_for_callers(self):
        self.table.merge_data_centre(
            _make_data_centre_report(_make_instance_report()), now=1.0
        )
        self.assertEqual(self._list_ready(1.1), ["far"])
        # Its hub reports it every second; without a hub it is soon not listed any more.
        self.assertEqual(self._list_ready(9.0), [])

    def test_newest_report_wins_whichever_hub_sends_it(self):
        # Two hubs report on a killed instance. One has seen its link end; the report of
        # the other one is older, but arrives later.
        self.table.merge_data_centre(
            _make_data_centre_report(_make_instance_report(age_ms=100, is_alive=False)),
            now=2.0,
        )
        self.table.merge_data_centre(
            _make_data_centre_report(_make_instance_report(age_ms=400)), now=2.1
        )
        self.assertEqual(self._list_ready(2.2), [])
        self.table.merge_data_centre(
            _make_data_centre_report(_make_instance_report(age_ms=50)), now=2.4
        )
        self.assertEqual(self._list_ready(2.5), ["far"])

    def test_new_start_is_unknown_and_an_older_one_ignored(self):
        cases = [
            ("unknown", _make_instance_report("other"), True),
            ("restarted", _make_instance_report(boot=2), True),
            ("an older start", _make_instance_report(boot=0), False),
            ("known", _make_instance_report(), False),
            ("this instance itself", _make_instance_report("own"), False),
        ]
        for name, instance, expected in cases:
            with self.subTest(name):
                report = _make_data_centre_report(instance)
                self.assertEqual(
                    self.table.merge_data_centre(report, now=1.0), expected
                )

    def test_report_is_passed_on_with_its_age(self):
        self.table.merge_data_centre(
            _make_data_centre_report(_make_instance_report(age_ms=200)), now=1.0
        )
        self.assertEqual(self.table.report_members("a", now=1.3)[0].age_ms, 500)
        self.assertEqual(self.table.report_members("c", now=1.3), ())

    def test_revision_increases_with_urgent_changes_only(self):
        self.table.merge_data_centre(
            _make_data_centre_report(_make_instance_report()), now=1.0
        )
        before = self.table.revision
        self.table.merge_data_centre(
            _make_data_centre_report(_make_instance_report(age_ms=10)), now=2.0
        )
        self.assertEqual(self.table.revision, before)
        self.table.merge_data_centre(
            _make_data_centre_report(_make_instance_report(age_ms=10, is_leaving=True)),
            now=3.0,
        )
        self.assertGreater(self.table.revision, before)


class CodecTest(unittest.TestCase):
    def test_heartbeat_is_unchanged_by_encoding_and_decoding(self):
        heartbeat = make_heartbeat()
        self.assertEqual(decode_message(encode_message(heartbeat)), heartbeat)
