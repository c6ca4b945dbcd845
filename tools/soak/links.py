"""Loopback proxies that carry connections and disturb them.

    link = Link(("127.10.0.2", 7001), ("127.10.0.1", 7001))
    await link.open()
    link.block("answers")      # A cut in one direction.

Bytes that a cut holds up are delivered after it, as the network would repeat
them, unless their sender reset the connection meanwhile. A connection that was
muted stays silent for good; new ones work.

A link knows which daemon opened a connection from the first bytes, which name
it, so connections of single daemons can be muted and severed.
"""

import asyncio

CHUNK = 65536
DIRECTIONS = ("requests", "answers")
# How the first bytes of a connection name the daemon that opened it: in START to
# an upstream, and to a peer in HTTP/2's Huffman code if that is shorter.
NAMES = [(b" vm-0 ", bytes.fromhex("83ef4ac0")), (b" vm-1 ", bytes.fromhex("83ef4ac1")),
         (b" vm-2 ", bytes.fromhex("83ef4ac2")), (b" vm-3 ", b"\x04vm-3"),
         (b" vm-4 ", b"\x04vm-4")]


class Connection:
    """The two sockets of one carried connection."""

    def __init__(self, near, far):
        self.writers = (near, far)
        self.is_muted = False
        self.vm = None  # Number of the daemon that opened it, once it is known.
        self.gate = asyncio.Event()
        self.gate.set()

    def abort(self):
        """Resets both sides."""
        for writer in self.writers:
            writer.transport.abort()


class Link:
    """One listening address, carried to another one."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.delay = 0.0
        self.connections = set()
        self.silent = []  # Muted connections that are no longer carried.
        self.gates = {}
        self.severed = set()  # Numbers of daemons whose connections are held up.
        self.server = None

    async def open(self):
        """Starts to listen."""
        for direction in DIRECTIONS:
            self.gates[direction] = asyncio.Event()
            self.gates[direction].set()
        self.server = await asyncio.start_server(self.carry, *self.address,
                                                 start_serving=False)
        await self.server.start_serving()

    def close(self):
        """Ends the listener and all connections."""
        if self.server:
            self.server.close()
        self.reset()
        self.heal()
        for connection in self.connections:
            connection.gate.set()

    def end(self):
        """Ends everything, at the end of the run."""
        self.close()
        for connection in self.silent:
            connection.abort()

    def reset(self):
        """Resets all connections."""
        for connection in list(self.connections):
            connection.abort()

    def mute(self, vm=None):
        """Silences the connections that are open now, of one daemon or all, for good."""
        for connection in self.connections:
            connection.is_muted = connection.is_muted or vm in (None, connection.vm)

    def sever(self, vm):
        """Holds up all bytes of one daemon's connections."""
        self.severed.add(vm)
        for connection in self.connections:
            if connection.vm == vm:
                connection.gate.clear()

    def expire(self, vm):
        """Ends the far side of a severed daemon's connections."""
        for connection in self.connections:
            if connection.vm == vm and vm in self.severed:
                connection.writers[1].transport.abort()

    def mend(self, vm):
        """Ends a severance."""
        self.severed.discard(vm)
        for connection in self.connections:
            if connection.vm == vm:
                connection.gate.set()

    def block(self, *directions):
        """Holds up the bytes of these directions."""
        for direction in directions:
            self.gates[direction].clear()

    def heal(self):
        """Ends cuts and delays."""
        self.delay = 0.0
        for gate in self.gates.values():
            gate.set()

    async def carry(self, reader, writer):
        """Carries one connection until a side ends it."""
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        connection = Connection(writer, far_writer)
        self.connections.add(connection)
        await asyncio.gather(self.pump(connection, reader, far_writer, "requests"),
                             self.pump(connection, far_reader, writer, "answers"))
        self.connections.discard(connection)
        if connection.is_muted:  # Its sides do not learn that it is carried no more.
            self.silent.append(connection)

    def identify(self, connection, data):
        """Notes the daemon that opened the connection."""
        for vm, names in enumerate(NAMES):
            if connection.vm is None and any(name in data for name in names):
                connection.vm = vm
                if vm in self.severed:
                    connection.gate.clear()

    async def pump(self, connection, reader, writer, direction):
        """Carries the bytes of one direction, and their end."""
        data = b"first"
        try:
            while data:
                data = await reader.read(CHUNK)
                if direction == "requests" and connection.vm is None:
                    self.identify(connection, data)
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self.gates[direction].wait()
                await connection.gate.wait()
                if connection.is_muted:
                    return
                if reader.exception():
                    raise reader.exception()
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            connection.abort()
