import unittest

from hypothesis import given, strategies as st

from fulmarward_core.declaration import DataCentre, Target, TargetKind
from fulmarward_core.health import (
    LeavingRecord,
    LeavingSource,
    LeavingTable,
    Pacer,
    charge,
    is_leaving,
    list_sources,
    merge_record,
    record_load_report,
    record_observation,
    reserve,
    select_followed,
)
from fulmarward_core.health.decisions import (
    CONTRADICT_AFTER_S,
    FOLLOWERS,
    MAX_FOLLOWED,
    REFUSAL_VALIDITY_S,
)

_LIST, _TARGET, _OPERATOR, _PLACEMENT = LeavingSource
_RECORDS = st.builds(
    LeavingRecord,
    target=st.sampled_from(["e1", "e2"]),
    source=st.sampled_from(LeavingSource),
    is_leaving=st.booleans(),
    version=st.integers(1, 4),
)


class LeavingTest(unittest.TestCase):
    def test_report_does_not_reopen_a_drained_target(self):
        # Guards against one flag for all sources: an operator drained an engine, and
        # new work resumed a second later, since the engine's load report, which does
        # not reflect the drain, said that it was open.
        table = LeavingTable()
        record_observation(table, ("e1", _OPERATOR), leaving=True, now=0.0)
        record_load_report(table, "e1", leaving=False, now=1.0)
        record_observation(table, ("e1", _LIST), leaving=False, now=1.0)
        self.assertEqual(list_sources(table, "e1"), (_OPERATOR,))

    def test_delayed_report_does_not_revoke_a_rejection(self):
        # Guards against a load report from before an engine rejected a request because
        # it is leaving: it says that the engine is open, and the next request would go
        # there again.
        table = LeavingTable()
        record_observation(table, ("e1", _TARGET), leaving=True, now=0.0)
        record_load_report(table, "e1", leaving=False, now=1.0)
        self.assertTrue(is_leaving(table, "e1"))
        record_load_report(table, "e1", leaving=False, now=REFUSAL_VALIDITY_S)
        self.assertFalse(is_leaving(table, "e1"))

    def test_lagging_lists_cause_no_message_storm(self):
        # Guards against two instances of which one has an outdated copy of the
        # platform's list, and which contradict each other at every read of the list.
        early, late = LeavingTable(), LeavingTable()
        records_sent = 0
        for second in range(20):
            for table, other, leaving in (
                (early, late, second >= 5),
                (late, early, second >= 12),
            ):
                record = record_observation(
                    table, ("e1", _LIST), leaving=leaving, now=second
                )
                if record is not None:
                    records_sent += 1
                    merge_record(other, record, now=second)
            self.assertEqual(is_leaving(late, "e1"), second >= 5)
        self.assertEqual(records_sent, 1)

    def test_record_whose_creators_are_gone_is_revoked(self):
        # Guards against a target that left and came back while every instance that
        # observed its leaving was replaced: the record remains with all peers, and the
        # target would stay idle for ever.
        table = LeavingTable()
        stale = LeavingRecord(target="e1", source=_TARGET, is_leaving=True, version=7)
        merge_record(table, stale, now=0.0)
        self.assertIsNone(record_load_report(table, "e1", leaving=False, now=1.0))
        self.assertTrue(is_leaving(table, "e1"))
        record = record_load_report(
            table, "e1", leaving=False, now=1 + CONTRADICT_AFTER_S
        )
        self.assertEqual((record.is_leaving, record.version), (False, 8))
        self.assertFalse(is_leaving(table, "e1"))

    @given(st.lists(_RECORDS), st.randoms(use_true_random=False))
    def test_tables_converge_whatever_the_order_of_records(self, records, generator):
        first, second = LeavingTable(), LeavingTable()
        shuffled = records + records[:3]
        generator.shuffle(shuffled)
        for table, order in ((first, records), (second, shuffled)):
            for record in order:
                merge_record(table, record, now=0.0)
        self.assertEqual(first.records, second.records)

    @given(st.lists(st.tuples(st.sampled_from(LeavingSource), st.booleans())))
    def test_target_is_leaving_while_any_source_says_so(self, observations):
        table = LeavingTable()
        latest = dict.fromkeys(LeavingSource, False)
        for source, leaving in observations:
            record_observation(table, ("e1", source), leaving=leaving, now=0.0)
            latest[source] = leaving
            self.assertEqual(is_leaving(table, "e1"), any(latest.values()))


def make_targets(count, data_centre_count):
    return {
        f"e{number}": Target(
            address="127.0.0.1:1",
            data_centre=f"dc{number % data_centre_count}",
            kind=TargetKind.ENGINE,
            serves=f"m{number % 4}",
            accelerator="",
            layers=(0, 24) if number % 3 else (0, 12),
            slots=16,
            tokens_per_s=1.0,
            checks_fencing=True,
        )
        for number in range(count)
    }


def _follow(targets, data_centre_count, instances, only_in=None):
    """Return what each instance follows, optionally for one data centre's only."""
    data_centres = {
        f"dc{n}": DataCentre(region=f"r{n % 3}") for n in range(data_centre_count)
    }
    return {
        name: select_followed(
            targets,
            own_name=name,
            own_data_centre=data_centre,
            instances=instances,
            data_centres=data_centres,
        )
        for name, data_centre in instances.items()
        if only_in in (None, data_centre)
    }


class FollowingTest(unittest.TestCase):
    def test_design_size_follows_all_targets_within_the_limit_per_instance(self):
        targets = make_targets(4100, 19)
        instances = {f"i{n}": f"dc{n % 19}" for n in range(330)}
        followed = _follow(targets, 19, instances, "dc7")
        followers = {name: 0 for name in targets if targets[name].data_centre == "dc7"}
        ranges = {(target.serves, target.layers) for target in targets.values()}
        for names in followed.values():
            self.assertLessEqual(len(names), MAX_FOLLOWED)
            covered = {(targets[name].serves, targets[name].layers) for name in names}
            self.assertEqual(covered, ranges)
            for name in names & followers.keys():
                followers[name] += 1
        self.assertGreaterEqual(min(followers.values()), FOLLOWERS)

    def test_additional_instance_changes_few_assignments(self):
        targets = make_targets(600, 3)
        before = {f"i{n}": f"dc{n % 3}" for n in range(30)}
        after = before | {"i30": "dc0"}
        old, new = _follow(targets, 3, before), _follow(targets, 3, after)
        moved = sum(len(old[name] - new[name]) for name in before)
        self.assertLess(moved, sum(map(len, old.values())) / 10)

    def test_all_targets_of_a_small_deployment_are_followed(self):
        targets = make_targets(43, 3)
        followed = _follow(targets, 3, {"i1": "dc0", "i2": "dc1"})
        self.assertEqual(set(followed["i1"]), set(targets))


class PacerTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 5), st.integers(1, 9000)), min_size=1))
    def test_bytes_stay_below_the_rate(self, reads):
        pacer = Pacer(bytes_per_s=1000.0)
        now, read_bytes = 0.0, 0
        for pause, size in reads:
            now += pause
            now += reserve(pacer, 400, now=now)
            self.assertLessEqual(read_bytes, 1000.0 * now + 0.01)
            charge(pacer, size - 400)
            read_bytes += size
