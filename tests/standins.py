"""Stand-ins for hosts, counter and discovery, and a configuration for a gateway among them, to try things on:

    python tests/standins.py FOLDER [LISTEN CONTROL]     # writes FOLDER/config.json, stays until it is ended

With LISTEN and CONTROL (HOST:PORT) it also keeps some requests a second on that gateway, and says at its end
how many were answered in which way.
"""

import asyncio
import collections
import json
import signal
import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

from netkit import StubCounter, StubDiscovery, StubHost, command, entry, read_reply, told  # noqa: E402


async def traffic(place, answers):
    """Some requests a second on one connection, made again where it ends."""
    host, port = place.rsplit(":", 1)
    number = 0
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            while True:
                number += 1
                writer.write(command(b"t%d" % number, customer=b"%016x" % (number % 7)))
                reply = await read_reply(reader)
                if not reply:
                    break
                answers[reply[:12].decode().split("\r")[0]] += 1
                await asyncio.sleep(0.02)
        except OSError:
            pass
        answers["connections made again"] += 1
        await asyncio.sleep(0.1)


async def main(folder, listen="127.0.0.1:0", control=""):
    ended, answers = asyncio.Event(), collections.Counter()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    async with StubHost() as one, StubHost() as two, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [entry(one, "h1"), entry(two, "h2")]
        tree = told(discovery.servers, discovery.port, counter.port) | {"listen": listen}
        Path(folder, "config.json").write_text(json.dumps(tree | ({"control": control} if control else {})))
        print(f"{folder}/config.json is there", flush=True)
        task = asyncio.create_task(traffic(listen, answers)) if control else None
        await ended.wait()
        if task:
            task.cancel()
        print(dict(answers), flush=True)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
