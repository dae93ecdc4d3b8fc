import unittest

from fulmarward_core.identities import IdentityFault, find_fault

#: Rows of the key `one`, and their faults.
ROWS = [
    (["one", 0, "near", "", ""], None),
    (("one", 2**53, "near", "10.0.0.1:1", "[::1]:1"), None),
    ("abcde", IdentityFault.FIELDS),
    (["one", 0, "near", ""], IdentityFault.FIELDS),
    (["two", 0, "near", "", ""], IdentityFault.NAME),
    (["one", 2**53 + 1, "near", "", ""], IdentityFault.BOOT),
    (["one", 0, "\x00", "", ""], IdentityFault.DATA_CENTRE),
    (["one", 0, "near", "host:1", ""], IdentityFault.PEER_ADDRESS),
    (["one", 0, "near", "", b""], IdentityFault.CALLER_ADDRESS),
]


class IdentityTest(unittest.TestCase):
    def test_faults(self):
        for fields, fault in ROWS:
            with self.subTest(fields=fields):
                self.assertEqual(find_fault("one", fields), fault)
