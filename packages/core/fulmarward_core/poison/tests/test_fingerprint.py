import unittest

from fulmarward_core.poison import compute_fingerprint, compute_head_fingerprint


def make_fingerprint(
    *, method="POST", host="h", path="/p?q=1", team="t", body=b"12"
) -> str:
    head = compute_head_fingerprint(
        method=method, host=host, path=path, team=team, body_bytes=len(body)
    )
    return compute_fingerprint(head, body)


class FingerprintTest(unittest.TestCase):
    def test_only_identical_requests_share_a_fingerprint(self):
        """Guards against a request that is rejected for another one's crashes."""
        changes = [
            {},
            {"method": "PUT"},
            {"host": "g"},
            {"path": "/p?q=2"},
            {"path": "/p"},
            {"team": "u"},
            {"body": b"21"},
            {"body": b""},
            {"path": "/p?q=\udc80"},
        ]
        found = {make_fingerprint(**change) for change in changes}
        self.assertEqual(len(found), len(changes))
        self.assertEqual(make_fingerprint(host="H"), make_fingerprint())
