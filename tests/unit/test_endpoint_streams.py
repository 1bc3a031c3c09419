"""Streams of endpoints that an agent reads, cut at any byte."""

import asyncio

from aspenfold_standins import http11

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from tests.unit import test_endpoint_client

ITEMS = [b'{"token":1}', b'{"token":23}']
STREAM = b''.join(b'data: %s\n\n' % item for item in ITEMS)


class ItemSink(test_endpoint_client.FailureSink):
    """Stores the items and the failure of one attempt."""

    def __init__(self) -> None:
        super().__init__()
        self.items: list[bytes] = []

    def on_head(self, attempt_id: str, head: frames.Head) -> None:
        """Ignore the head."""

    def on_items(self, attempt_id: str, items: tuple[bytes, ...]) -> None:
        """Store the items."""
        self.items += items


async def read_stream(body: bytes) -> tuple[list[bytes], exceptions.Failure]:
    """Return the items and the failure of a stream that ends unframed."""

    async def handler(exchange: http11.Exchange) -> None:
        head = b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n'
        await exchange.write(head + body)
        exchange.close()

    server = http11.Server(handler)
    await server.start()
    sink = ItemSink()
    try:
        failure = await test_endpoint_client.failure_of(
            server.port, 'job', sink
        )
    finally:
        await server.stop()
    return sink.items, failure


def test_no_part_of_an_event_becomes_an_item() -> None:
    """The next attempt resumes behind the items that were delivered."""
    wrong = []
    for size in range(len(STREAM)):
        items, failure = asyncio.run(read_stream(STREAM[:size]))
        assert failure.code is exceptions.Code.ENDPOINT_LOST
        if items != ITEMS[: STREAM[:size].count(b'\n\n')]:
            wrong.append((size, items))
    assert not wrong
