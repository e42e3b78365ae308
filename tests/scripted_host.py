"""A host whose replies a test writes one by one."""

import asyncio

import hiredis


class ScriptedHost:
    """A host that queues each command with its connection, so that the test can write the reply."""

    def __init__(self):
        self.commands = asyncio.Queue()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        parser = hiredis.Reader(notEnoughData=...)
        while data := await reader.read(65536):
            parser.feed(data)
            while (command := parser.gets()) is not ...:
                self.commands.put_nowait((command[2], writer))


def value_reply(text):
    """Return a reply with the value and with neither metered usage nor a load report."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(text), text)
