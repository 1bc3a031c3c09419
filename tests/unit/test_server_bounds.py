"""Random callers at one server: what is held, and what is answered."""

import asyncio
import random
import re

import pytest

from aspenfold._internal.gateway import body_budget
from aspenfold._internal.network import http1_server
from tests.unit import test_http1_server as fakes

CALLERS = 6
REQUESTS = 12
STEPS = 400
MAX_ROUNDS = 60
TURNS_A_ROUND = 20
BODY_BYTES = 3_000
MAX_PAUSED_BYTES = 65_536
"""The largest piece that arrives at once."""

AMPLE_BYTES = 10_000_000
SCARCE_BYTES = 150_000


class Caller:
    """Sends numbered requests in random pieces, and reads at random."""

    def __init__(
        self, *, server: http1_server.Server, rng: random.Random
    ) -> None:
        self.rng = rng
        self.transport = fakes.UnreadTransport()
        self.connection = fakes.connect_to(server, self.transport)
        self.to_send = b''.join(self.request(n) for n in range(REQUESTS))
        self.received = b''
        self.has_left = False

    def request(self, number: int) -> bytes:
        """Return a request of a random form."""
        head = f'POST /{number} HTTP/1.1\r\nHost: x\r\n'
        body = b'x' * self.rng.randrange(BODY_BYTES)
        match self.rng.randrange(3):
            case 0:
                return f'GET /{number} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
            case 1:
                length = f'Content-Length: {len(body)}\r\n\r\n'
                return (head + length).encode() + body
        chunks = b''.join(b'1\r\nx\r\n' for _ in body[:300])
        chunked = 'Transfer-Encoding: chunked\r\n\r\n'
        return (head + chunked).encode() + chunks + b'0\r\n\r\n'

    def step(self) -> None:
        """Send, read or leave."""
        if self.transport.lost:
            return
        action = self.rng.random()
        if action < 0.5 and self.transport.reading and self.to_send:
            size = self.rng.choice([1, 100, 5_000, MAX_PAUSED_BYTES])
            piece, self.to_send = self.to_send[:size], self.to_send[size:]
            self.connection.data_received(piece)
        elif action < 0.8:
            self.received += self.transport.read()
        elif action > 0.999:
            self.has_left = True
            self.transport.abort()

    def finish(self) -> None:
        """Send and read what is left."""
        if self.transport.lost:
            return
        if self.transport.reading and self.to_send:
            piece = self.to_send[:MAX_PAUSED_BYTES]
            self.to_send = self.to_send[MAX_PAUSED_BYTES:]
            self.connection.data_received(piece)
        self.received += self.transport.read()

    def answered(self) -> list[int]:
        """Return the requests with a whole response, in order."""
        whole = re.findall(rb'number: (\d+)\r\n\r\nx{1000}', self.received)
        return [int(number) for number in whole]


async def respond(
    request: http1_server.Request, response: http1_server.ResponseWriter
) -> None:
    """Respond with the request's number, some time later."""
    for _ in range(int(request.target[1:]) % 3):
        await asyncio.sleep(0)
    number = request.target[1:]
    response.start(200, [(b'content-length', b'1000'), (b'number', number)])
    response.write(b'x' * 1_000)
    response.end()


async def run(rng: random.Random, input_bytes: int) -> list[Caller]:
    """Let callers do as they like, and then read all that is due."""
    memory = fakes.Memory(input_bytes=input_bytes)
    server = fakes.make_server(respond, memory)
    callers = [Caller(server=server, rng=rng) for _ in range(CALLERS)]
    for _ in range(STEPS):
        rng.choice(callers).step()
        if rng.random() < 0.5:
            await asyncio.sleep(0)
        check_bounds(callers, memory)
    for _ in range(MAX_ROUNDS):
        for caller in callers:
            caller.finish()
        for _ in range(TURNS_A_ROUND):
            await asyncio.sleep(0)
        check_bounds(callers, memory)
    for caller in callers:
        # Where the server has closed it, its end follows what was unsent.
        if caller.connection._transport is not None:
            caller.transport.abort()
    for _ in range(TURNS_A_ROUND):
        await asyncio.sleep(0)
    assert memory.input.held == memory.bodies.held == 0
    return callers


def check_bounds(callers: list[Caller], memory: fakes.Memory) -> None:
    """Check what is held for each caller and for all."""
    budgets: list[body_budget.BodyBudget] = [memory.input, memory.bodies]
    for budget in budgets:
        assert 0 <= budget.held <= budget.limit
    early = [len(caller.connection._input) for caller in callers]
    assert sum(early) <= memory.input.held + memory.bodies.held
    for caller in callers:
        unsent = len(caller.transport.written)
        assert unsent <= http1_server.MAX_UNSENT_BYTES + 2_500


@pytest.mark.parametrize('seed', range(20))
def test_callers_that_read_get_each_response_once_in_order(
    seed: int,
) -> None:
    """With memory for all, whatever the pieces and pauses."""
    for caller in asyncio.run(run(random.Random(seed), AMPLE_BYTES)):
        expected = list(range(REQUESTS))
        answered = caller.answered()
        if caller.has_left:
            assert answered == expected[: len(answered)]
        else:
            assert answered == expected


@pytest.mark.parametrize('seed', range(20))
def test_callers_without_room_get_no_response_out_of_order(
    seed: int,
) -> None:
    """What is closed or refused is so behind whole responses."""
    callers = asyncio.run(run(random.Random(seed), SCARCE_BYTES))
    for caller in callers:
        answered = caller.answered()
        assert answered == list(range(len(answered)))
    assert any(len(x.answered()) < REQUESTS for x in callers)
