"""Connects to hosts, bounded by host and in all, and shared. Only with `connects` in the key `edge`.

Without it each attempt that finds no connection at rest opens one for itself, so that a rush of requests is a
rush of handshakes too, which costs hosts work. Here an attempt waits for the first connection that comes up
or has ended its work, whichever it was opened for, and no longer than a connect may take: then it may be
tried elsewhere.
"""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import Callable

from api_gateway.base.endpoint_list import Address
from api_gateway.upstream.pool import TICK, Attempt, Connection, Hosts, Pool, Short


class Bounds:
    """Connects to one host and to all at once (0: any number), over the pools of one process."""

    def __init__(self, host: int, most: int) -> None:
        self.host, self.most = host, most
        self.blocked: weakref.WeakSet[SharedPool] = weakref.WeakSet()  # that found no room in all

    def free(self, hosts: Hosts) -> bool:
        return not self.most or hosts.coming < self.most

    def ended(self) -> None:
        """A connect has ended: those that found no room look again, the one with most waiting first."""
        for pool in sorted(self.blocked, key=lambda pool: -len(pool.waiting)):
            self.blocked.discard(pool)
            pool.fill()


class SharedPool(Pool):
    """`waiting`: attempts without a connection, the first that came first, with the ends of their waits."""

    def __init__(self, hosts: Hosts, address: Address, bounds: Bounds) -> None:
        super().__init__(hosts, address)
        self.bounds, self.waiting = bounds, dict[Attempt, asyncio.TimerHandle]()

    def start(self, attempt: Attempt) -> None:
        if not self.reuse(attempt):
            loop = asyncio.get_running_loop()
            self.waiting[attempt] = loop.call_later(self.hosts.connect_timeout, self.overdue, attempt)
            self.fill()

    def fill(self) -> None:
        """As many connects as there are attempts that wait for more than what settles, within the bounds."""
        while self.up and len(self.coming) < min(len(self.waiting) - len(self.idle), self.bounds.host):
            if not self.bounds.free(self.hosts):
                self.bounds.blocked.add(self)
                return
            if not self.hosts.room():
                if not self.coming:  # none will come up that could be shared
                    asyncio.get_running_loop().call_soon(self.fail, "moot")
                return
            token = object()
            self.coming[token] = asyncio.get_running_loop().create_task(self.come_up(token))

    async def come_up(self, token: object) -> None:
        conn, result = None, "connect_failed"
        try:
            conn = await self.open()
        except Short:
            result = "moot"
        finally:
            self.coming.pop(token, None)
        if conn is None:
            self.fail(result)
        else:
            self.hosts.conns.add(conn)
            self.rest(conn)
        self.fill()
        self.bounds.ended()

    def fail(self, result: str = "connect_failed") -> None:
        """What one connect met is so for all that wait: each may be tried elsewhere at once."""
        waiting, self.waiting = self.waiting, {}
        for attempt, end in waiting.items():
            end.cancel()
            attempt.end(result)

    def overdue(self, attempt: Attempt) -> None:
        """It waited as long as a connect of its own might have taken."""
        del self.waiting[attempt]
        attempt.end("connect_failed")

    def rest(self, conn: Connection) -> None:
        new = self.up and not conn.used
        if not (new and self.waiting and conn.sound() and self.give(conn)):
            super().rest(conn)
            asyncio.get_running_loop().call_later(self.settle + TICK, self.offer)

    def give(self, conn: Connection) -> bool:
        """Whether one of those that wait went out on it."""
        while self.waiting:
            attempt = next(iter(self.waiting))
            self.waiting.pop(attempt).cancel()
            if conn.start(attempt):
                return True
        return False

    def offer(self) -> None:
        """What has ended its work goes to those that wait once no second answer can come on it."""
        while self.up and self.waiting and (conn := self.settled()) is not None:
            if not self.give(conn):
                self.put_back(conn)

    def drop(self, conn: Connection) -> None:
        """It may have been the last one that those who wait could have had."""
        super().drop(conn)
        self.fill()

    def call_off(self, attempt: Attempt) -> None:
        """A connect that is on its way goes on: what comes up rests, and serves the next one."""
        end = self.waiting.pop(attempt, None)
        if end is not None:
            end.cancel()

    def stop(self) -> None:
        self.up = False
        self.close_idle()
        for token in list(self.coming):
            self.coming.pop(token).cancel()
        self.fail()
        self.bounds.ended()


def shared(host: int, most: int) -> Callable[[Hosts, Address], Pool]:
    """What makes the pools of one process."""
    bounds = Bounds(host, most)
    return lambda hosts, address: SharedPool(hosts, address, bounds)
