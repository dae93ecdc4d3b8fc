import unittest

from fulmarward_core.addresses import is_address

ADDRESSES = [
    ("10.0.0.1:80", True),
    ("[::1]:65535", True),
    ("10.0.0.1:65536", False),
    ("10.0.0.1:0", False),
    ("10.0.0.1:080", False),
    ("10.0.0.1:+80", False),
    ("10.0.0.1:٣", False),
    ("10.0.0.1:80\n", False),
    ("10.0.0.1", False),
    ("::1:80", False),
    ("[::g]:80", False),
    ("localhost:80", False),
    ("10.0.0.1:80/x", False),
    ("", False),
    (None, False),
    (b"10.0.0.1:80", False),
]


class AddressTest(unittest.TestCase):
    def test_addresses(self):
        for value, expected in ADDRESSES:
            with self.subTest(value=value):
                self.assertEqual(is_address(value), expected)
