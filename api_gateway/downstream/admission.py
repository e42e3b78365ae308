"""Accepting connections of clients under limits. Only with the key `edge`.

Acceptor takes them in bounded lots, so that a rush of handshakes leaves turns to the requests in work, and
pauses where descriptors end.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import Any

from api_gateway.base.accepting import CONNECTION_ERRORS, SHORTAGE_ERRORS
from api_gateway.downstream.admission_settings import Edge
from api_gateway.downstream.client_connection import Client
from api_gateway.downstream.client_server import ClientServer
from api_gateway.downstream.fair_queueing import WINDOW, FairClient, Origin, Turns
from api_gateway.downstream.peer_monitoring import backlog, overflows, watch_peer
from api_gateway.downstream.rate_limits import Gate

ACCEPTS_PER_TURN = 16  # connections that are accepted before the loop turns to requests in flight
PAUSE = 0.1  # s without accepting where the system had nothing left for it
REFUSED = b"-ERR too many connections\r\n"

log = logging.getLogger(__name__)


class Acceptor:
    """In the place of an asyncio server: takes what the gate lets in."""

    def __init__(self, sock: socket.socket, server: ClientServer, edge: Edge) -> None:
        self.sockets, self.server, self.gate = [sock], server, Gate(edge, monotonic())
        self.turns = Turns(edge.half_closed) if edge.turns else None
        self.overflows = overflows()
        self.loop = asyncio.get_running_loop()
        self.coming: set[asyncio.Task[Any]] = set()
        self.timer: asyncio.TimerHandle | None = None
        sock.setblocking(False)
        self.resume()

    def resume(self) -> None:
        self.timer = None
        self.loop.add_reader(self.sockets[0].fileno(), self.turn)

    def pause(self, seconds: float) -> None:
        """What comes meanwhile waits in the backlog."""
        self.gate.counts["pauses"] += 1
        self.loop.remove_reader(self.sockets[0].fileno())
        self.timer = self.loop.call_later(seconds, self.resume)

    def turn(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            now = monotonic()
            wait = self.gate.all.wait(now)
            if wait > 0:
                self.pause(wait)
                return
            try:
                sock, address = self.sockets[0].accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as err:
                if err.errno in CONNECTION_ERRORS:
                    continue
                log.warning("no connection can be taken: %s; again in %.1f s", err, PAUSE)
                if err.errno in SHORTAGE_ERRORS:
                    self.server.free()
                self.pause(PAUSE)
                return
            self.take(now, sock, address[0])

    def take(self, now: float, sock: socket.socket, address: str) -> None:
        if self.gate.ask(now, address):
            with sock:
                sock.setblocking(False)
                try:
                    sock.send(REFUSED)
                except OSError:
                    pass
            return
        task = self.loop.create_task(self.connect(sock, address))
        self.coming.add(task)
        task.add_done_callback(self.coming.discard)

    async def connect(self, sock: socket.socket, address: str) -> None:
        name, turns = self.gate.name(address), self.turns
        origin: Origin | None = None
        leave: Callable[[], None] | None = None
        if turns and name:
            origin, leave = turns.join(name, self.gate.weight(address)), partial(turns.leave, name)

        def ended() -> None:
            self.gate.left(address)
            if leave is not None:
                leave()

        try:
            watch_peer(sock, self.gate.edge.vanished)
            client = FairClient(self.server, turns, origin) if turns else Client(self.server)
            client.ended = ended
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except Exception as err:  # one that cannot be taken must not hold a place
            if not isinstance(err, OSError):
                log.exception("a connection could not be taken")
            ended()
            sock.close()

    def status(self) -> dict[str, Any]:
        """Connections by what became of them, and the turns: who waits, and how much one may have in work."""
        waiting, most = backlog(self.sockets[0])
        told = {
            **self.gate.counts,
            "backlog": waiting,
            "backlog_most": most,
            "overflows": overflows() - self.overflows,
        }
        if self.turns is None:
            return told
        windows = [client.window for client in self.server.clients if isinstance(client, FairClient)]
        return {
            **told,
            "turns": self.turns.waiting(),
            "windows": [int(min(windows, default=WINDOW)), int(max(windows, default=WINDOW))],
        }

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        sock = self.sockets[0]
        if sock.fileno() >= 0:
            self.loop.remove_reader(sock.fileno())
            sock.close()
