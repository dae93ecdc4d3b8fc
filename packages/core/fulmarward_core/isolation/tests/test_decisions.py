import unittest
from types import SimpleNamespace

from fulmarward_core.isolation import RelayPeer, choose_relay_peers, choose_sample


def _make_records(names, *, newest=""):
    return [
        SimpleNamespace(
            name=name,
            data_centre=name[0],
            is_leaving=name.endswith("-leaving"),
            layers="0-10",
            started_ms=2 if name == newest else 1,
        )
        for name in names
    ]


class SampleTest(unittest.TestCase):
    def choose(self, records, *, unreachable=(), count=3):
        sample = choose_sample(
            records, unreachable=frozenset(unreachable), count=count, offset=0
        )
        return [record.name for record in sample]

    def test_sample_covers_the_data_centres(self):
        """Guards against one data centre whose failure looks like an isolation."""
        names = self.choose(_make_records(["a1", "a2", "a3", "b1", "c1"]))
        self.assertEqual({name[0] for name in names}, {"a", "b", "c"})

    def test_target_that_started_last_is_in_the_sample(self):
        """Guards against an instance that misses the first targets to return."""
        records = _make_records(["a1", "a2", "b1", "b2"], newest="b2")
        self.assertIn("b2", self.choose(records, count=2))

    def test_unreachable_targets_only_complete_the_sample(self):
        records = _make_records(["a1", "a2", "a3"], newest="a3")
        self.assertEqual(self.choose(records, unreachable=["a1"], count=2)[1], "a2")
        self.assertEqual(len(self.choose(records, unreachable=["a1"])), 3)

    def test_leaving_targets_are_not_sampled(self):
        self.assertEqual(self.choose(_make_records(["a-leaving"])), [])


class RelayPeersTest(unittest.TestCase):
    def choose(self, names, *, unreached=(), count=3, offset=0):
        peers = [
            RelayPeer(name=name, data_centre=name[0], address=f"{name}:1")
            for name in names
        ]
        chosen = choose_relay_peers(
            peers, unreached=unreached, data_centre="a", count=count, offset=offset
        )
        return [peer.name for peer in chosen]

    def test_peer_nearby_comes_first_in_rotation(self):
        names = ["a1", "a2", "b1"]
        self.assertEqual(self.choose(names), ["a1", "b1", "a2"])
        self.assertEqual(self.choose(names, offset=1), ["a2", "b1", "a1"])
        self.assertEqual(self.choose([], offset=1), [])

    def test_all_data_centres_come_before_a_second_peer_of_one(self):
        """Guards against a whole data centre that asks only its own instances."""
        names = ["a1", "a2", "a3", "b1", "b2", "c1"]
        for offset in range(4):
            chosen = self.choose(names, offset=offset)
            self.assertEqual({name[0] for name in chosen}, {"a", "b", "c"})

    def test_peers_known_to_reach_nothing_come_last(self):
        """Guards against requests that wait for peers which rejected others."""
        chosen = self.choose(["a1", "a2", "b1"], unreached={"a1", "b1"})
        self.assertEqual(chosen, ["a2", "a1", "b1"])
