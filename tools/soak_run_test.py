"""The soak's runs: nothing of one is left when the next one begins."""

import asyncio
import contextlib
import os
import socket
import tempfile
import unittest

from soak.fleet import PORTS, Fleet
from soak.links import Link
from soak.tasks import RunTasks

NUMBER = 60  # Of the network 127.70, which no soak uses by default.


async def take(writes, begun):
    """A caller that waits for answers, and goes on after each."""
    while True:
        writes.append(1)
        begun.append(asyncio.get_running_loop().create_future())
        await asyncio.wait_for(begun[-1], 5)


class RunTest(unittest.IsolatedAsyncioTestCase):
    """Runs without daemons."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.logs = directory.name

    async def asyncTearDown(self):
        asyncio.get_running_loop().set_task_factory(None)

    def fleet(self):
        """A fleet of a build that has no programs."""
        return Fleet(f"{self.logs}/no-build", NUMBER, self.logs)

    async def test_dropped_cancellation(self):
        """A task ends, though its cancellation came together with an answer."""
        tasks, writes, begun = RunTasks(), [], []
        task = asyncio.create_task(take(writes, begun))
        await asyncio.sleep(0.01)
        begun[-1].set_result(None)
        await tasks.end()
        self.assertTrue(task.done())
        self.assertFalse(tasks.tasks)

    async def test_tasks_of_another_run(self):
        """The end of one run leaves the tasks of another alone."""
        async def run(ends):
            tasks = RunTasks()
            task = asyncio.create_task(asyncio.sleep(0.2))
            if ends:
                await tasks.end()
            await asyncio.wait([task])
            return task.cancelled()
        self.assertEqual(await asyncio.gather(run(True), run(False)), [True, False])

    async def test_closed_fleet(self):
        """Closing ends processes and tasks; a task that goes on starts nothing."""
        fleet = self.fleet()
        process = await fleet.start_process("sleep", "60")

        async def restart():
            await process.wait()
            await fleet.start_daemon(0)
        task = asyncio.create_task(restart())
        await asyncio.sleep(0)
        await fleet.close()
        self.assertTrue(task.done())
        self.assertNotEqual(process.returncode, None)
        with self.assertRaisesRegex(RuntimeError, "the run has ended"):
            await fleet.start_daemon(0)

    async def expect_taken(self, fleet, address):
        """The fleet does not start, and names the address that is in use."""
        with self.assertRaisesRegex(OSError, f"{address}.*(?i:address already in use)"):
            await fleet.start()
        self.assertEqual(fleet.processes, [])
        with self.assertRaisesRegex(RuntimeError, "does not run"):
            await fleet.admin("state")
        await fleet.close()

    async def test_processes_left_behind(self):
        """A run fails at once if a process listens where its own ones will."""
        for ip, port in ((f"127.{10 + NUMBER}.0.1", PORTS["store"]),
                         (f"127.{10 + NUMBER}.3.2", PORTS["peer"])):
            with socket.create_server((ip, port)):
                await self.expect_taken(self.fleet(), f"{ip}:{port}")

    async def test_two_runs_in_a_network(self):
        """The second run fails at once."""
        first = self.fleet()
        for link in first.links:
            await link.open()
        await self.expect_taken(self.fleet(), first.links[0].address[0])
        await first.close()

    async def test_daemon_that_ends(self):
        """Waiting for a daemon that has ended fails at once, with what it said last."""
        fleet = self.fleet()
        path = f"{fleet.build}/fireflycart/daemon"
        os.makedirs(path)
        with open(f"{path}/fireflycartd", "w", encoding="utf-8") as program:
            program.write("#!/bin/sh\necho first\necho no address\nexit 3\n")
        os.chmod(f"{path}/fireflycartd", 0o700)
        await fleet.start_daemon(0)
        for wait in (fleet.wait_ready, fleet.wait_listening):
            with self.assertRaisesRegex(RuntimeError, "vm-0 ended with 3: no address$"):
                await wait(0)
        await fleet.close()

    async def test_muted_connection(self):
        """A connection that was muted is silent and open until the run ends."""
        async def echo(reader, writer):
            with contextlib.suppress(OSError), contextlib.closing(writer):
                while data := await reader.read(100):
                    writer.write(data)
        address = (f"127.{10 + NUMBER}.0.2", 7001)
        target = (f"127.{10 + NUMBER}.0.1", 7001)
        server = await asyncio.start_server(echo, *target)
        link = Link(address, target)
        await link.open()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"x")
        await reader.read(1)
        carried = next(iter(link.connections))
        writer.write(b"y")
        link.mute()
        carried.writers[1].write(b"z")
        await asyncio.sleep(0.1)
        self.assertFalse(link.connections)
        link.close()
        await asyncio.sleep(0.01)
        self.assertFalse(reader.at_eof())
        self.assertFalse(any(w.transport.is_closing() for w in carried.writers))
        link.end()
        self.assertTrue(all(w.transport.is_closing() for w in carried.writers))
        writer.close()
        server.close()
        await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
