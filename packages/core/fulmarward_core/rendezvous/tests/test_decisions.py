import unittest
from collections import Counter

from fulmarward_core.rendezvous import choose_first, is_among_first

_INSTANCES = [f"edge-{number}" for number in range(12)]


def _list_first(key, instances, count):
    return {
        name
        for name in instances
        if is_among_first(key, own=name, instances=instances, count=count)
    }


class RendezvousTest(unittest.TestCase):
    def test_each_key_has_as_many_instances_as_asked_for(self):
        """Guards against targets that no instance observes, or that all observe."""
        for count in (1, 2, 20):
            for number in range(50):
                with self.subTest(count=count, number=number):
                    first = _list_first(f"t{number}", _INSTANCES, count)
                    self.assertEqual(len(first), min(count, len(_INSTANCES)))

    def test_first_instance_is_the_one_that_is_chosen(self):
        """Guards against two instances that both count as the only one for a key."""
        for number in range(50):
            chosen = choose_first(f"t{number}", _INSTANCES)
            self.assertEqual({chosen}, _list_first(f"t{number}", _INSTANCES, 1))

    def test_other_keys_stay_where_they_are_if_an_instance_leaves(self):
        """Guards against all targets changing their observers when one is lost."""
        left = _INSTANCES[1:]
        for number in range(50):
            key = f"t{number}"
            before = _list_first(key, _INSTANCES, 2)
            if _INSTANCES[0] not in before:
                self.assertEqual(before, _list_first(key, left, 2))

    def test_keys_are_spread_over_all_instances(self):
        """Guards against one instance that observes most targets."""
        counts = Counter(
            name
            for number in range(600)
            for name in _list_first(f"t{number}", _INSTANCES, 2)
        )
        self.assertLess(max(counts.values()), 2 * 600 * 2 / len(_INSTANCES))

    def test_unlisted_instance_is_never_among_the_first(self):
        """Guards against probes by instances that serve no callers."""
        self.assertFalse(is_among_first("t", own="x", instances=_INSTANCES, count=99))
        self.assertIsNone(choose_first("t", []))
