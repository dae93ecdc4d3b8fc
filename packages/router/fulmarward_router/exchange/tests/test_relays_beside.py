"""Relays beside a slow target, which are closed once that has answered."""

import asyncio
import unittest
from unittest import mock

from fulmarward_core.isolation import RelayPeer
from fulmarward_router.exchange._relay import PeerRelay
from fulmarward_router.exchange.tests.test_slow_targets import _Plan, _run


class RelayBesideTest(unittest.TestCase):
    def test_run_at_a_peer_is_counted_once(self):
        """Guards against requests without a run that their route still allows."""

        async def work(instance):
            plain = instance.plain
            client = mock.Mock()

            async def hang(state, address, headers):
                await asyncio.Event().wait()

            client.open_relay = hang
            context = plain._context
            relay = PeerRelay(
                context=context,
                contact_monitor=mock.Mock(),
                forwarder=mock.Mock(),
                crash_monitor=mock.Mock(),
                list_peers=lambda: [
                    RelayPeer(name="two", data_centre="a", address="h:9")
                ],
                count_relay=mock.Mock(),
            )
            relay._client, relay._dialect = client, mock.Mock()
            calls = []

            def is_needed(state):
                calls.append(state)
                return len(calls) > 1

            relay.is_needed = is_needed
            plain._responses._relay = relay
            state = instance.make_state()
            outcome = await instance.serve(state)
            return outcome, state

        outcome, state = _run(work, {"t1": _Plan(after_s=1.0)})
        self.assertEqual(outcome, (200, b"t1"))
        # One at the target that has answered, one at the peer.
        self.assertEqual(state.runs, 1 + 1)
