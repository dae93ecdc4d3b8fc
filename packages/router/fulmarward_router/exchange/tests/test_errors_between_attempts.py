"""Errors that are not the caller's, between two attempts at a begun stream."""

import asyncio

from fulmarward_router.exchange.tests.test_ended_streams import _EndedStreamTest


class ProbeErrorTest(_EndedStreamTest):
    async def run_error(self, owner, name, error):
        """Raise an error once between two attempts; check that the stream goes on."""
        self.begin()
        await self.await_attempt(1)
        await self.send(1, attempt=1)
        whole = getattr(owner(), name)

        async def fail_once(*args, **options):
            setattr(owner(), name, whole)
            raise error

        setattr(owner(), name, fail_once)
        await self.lose(1, removed=False)
        await self.await_attempt(2)
        await self.check_completes(attempt=2)

    async def test_cancelled_probe_of_a_path(self):
        """Guards against a request that ends with a task that nobody ended for it."""
        await self.run_error(
            lambda: self.service._paths, "probe", asyncio.CancelledError()
        )

    async def test_failed_probe_of_a_path(self):
        await self.run_error(lambda: self.service._paths, "probe", RuntimeError("x"))

    async def test_fault_in_the_confirmation_of_ends(self):
        """Guards against a stream that is cut by a single fault of this program."""
        await self.run_error(
            lambda: self.service._paths, "confirm_ends", RuntimeError("x")
        )

    async def test_fault_in_the_examination_of_a_crash(self):
        await self.run_error(
            lambda: self.service._crash_monitor, "examine_attempt", RuntimeError("x")
        )

    async def test_cancelled_examination_of_a_crash(self):
        """Guards against a request that ends with a task that nobody ended for it."""
        await self.run_error(
            lambda: self.service._crash_monitor,
            "examine_attempt",
            asyncio.CancelledError(),
        )
