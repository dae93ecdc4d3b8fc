import unittest

from fulmarward_core.identities import IdentityFault, find_fault
from fulmarward_core.identities.decisions import MAX_CLOCK_DIFFERENCE_MS

NOW_MS = 10**12

#: The latest start that a row may name.
LATEST_MS = NOW_MS + MAX_CLOCK_DIFFERENCE_MS

#: Rows of the key `one`, and their faults.
ROWS = [
    (["one", 0, "near", "", ""], None),
    (("one", LATEST_MS, "near", "10.0.0.1:1", "[::1]:1"), None),
    ("abcde", IdentityFault.FIELDS),
    (["one", 0, "near", ""], IdentityFault.FIELDS),
    (["two", 0, "near", "", ""], IdentityFault.NAME),
    (["one", LATEST_MS + 1, "near", "", ""], IdentityFault.BOOT),
    (["one", 0, "\x00", "", ""], IdentityFault.DATA_CENTRE),
    (["one", 0, "near", "host:1", ""], IdentityFault.PEER_ADDRESS),
    (["one", 0, "near", "", b""], IdentityFault.CALLER_ADDRESS),
]


class IdentityTest(unittest.TestCase):
    def test_faults(self):
        for fields, fault in ROWS:
            with self.subTest(fields=fields):
                self.assertEqual(find_fault("one", fields, now_ms=NOW_MS), fault)
