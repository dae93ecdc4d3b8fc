"""Begun streams that stay at their targets, as they could not be resumed better."""

import asyncio

from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest


class UnreachedServiceTest(_EndedStreamTest):
    async def test_stream_that_no_peer_may_serve_stays_while_no_target_answers(self):
        """Guards against a stream that is cut as its instance was cut off for 1 s."""
        self.begin(most_attempts=1)
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        self.service.supervisor._has_peers = lambda: True
        self.service._context.contacts.is_reached = lambda service: False
        await asyncio.sleep(1.3)
        await self.check_completes(attempt=1)
        self.assertEqual(len(self.calls), 1)
