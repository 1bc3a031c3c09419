"""The store's responses that end early, at any byte and in any framing."""

import asyncio
from collections import abc
import datetime
import json
import struct

from aspenfold_standins import http11

from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold.platform import store as store_module

NO_WAIT = datetime.timedelta(0)
END_OFFSET = 7
FIRST_OFFSET = 4


def record_bytes(value: bytes) -> bytes:
    """Return a record of the key ``k`` as a page has it."""
    content = b'\x01k' + value
    return struct.pack('>I', len(content)) + content


PAGE = struct.pack('>QQ', END_OFFSET, 0) + b''.join(
    record_bytes(value) for value in (b'one', b'two', b'three')
)
RECORD_ENDS = [16, 25, 34, 45]
"""Sizes at which the page can end between two records."""


async def respond_unframed(
    exchange: http11.Exchange, body: bytes, *, end: bool = True
) -> None:
    """Send a body that ends with its connection, if it ends."""
    await exchange.write(b'HTTP/1.1 200 OK\r\n\r\n' + body)
    if end:
        exchange.close()


async def with_store(
    handler: http11.Handler,
    call: abc.Callable[[store_module.StoreClient], abc.Awaitable[ports.Page]],
) -> ports.Page:
    """Call a store whose requests go to ``handler``."""
    server = http11.Server(handler)
    await server.start()
    address = settings.TcpAddress(host='127.0.0.1', port=server.port)
    client = store_module.StoreClient(address=address)
    try:
        return await call(client)
    finally:
        client.reset_connections()
        await server.stop()


def read_page(body: bytes) -> ports.Page:
    """Read a page that ends with its connection."""

    async def handler(exchange: http11.Exchange) -> None:
        await respond_unframed(exchange, body)

    return asyncio.run(
        with_store(handler, lambda c: c.read('t', FIRST_OFFSET, NO_WAIT))
    )


def test_a_page_that_ends_inside_a_record_is_no_page() -> None:
    """A cut record must not be applied, nor its offset be passed."""
    accepted = []
    for size in set(range(len(PAGE))) - set(RECORD_ENDS):
        try:
            accepted.append((size, read_page(PAGE[:size])))
        except ports.StoreUnavailable:
            continue
    assert not accepted


def test_reading_goes_on_behind_the_last_record_of_a_page() -> None:
    """A page may end before the topic does, by size or by its connection."""
    ends = [read_page(PAGE[:size]).end for size in RECORD_ENDS]
    assert ends == [4, 5, 6, 7]


def test_a_list_of_several_pages_ends_where_its_first_one_does() -> None:
    """A key of the first page may change before the last one is read."""
    ends = iter([5, 9])

    async def handler(exchange: http11.Exchange) -> None:
        last = 'after' in exchange.request.target
        item = {'key': 'b' if last else 'a', 'value': '', 'offset': 1}
        page = {'items': [item], 'truncated': not last, 'end': next(ends)}
        await exchange.respond(200, {}, json.dumps(page).encode())

    page = asyncio.run(with_store(handler, lambda c: c.newest('t')))
    assert [r.key for r in page.records] == ['a', 'b']
    assert page.end == 5


def test_an_invalid_list_is_no_list() -> None:
    """The feeds go on with what they know, and read again."""
    bodies = [
        b'{"items": [',
        b'[]',
        b'{}',
        b'{"items": [1], "truncated": false, "end": 0}',
        b'{"items": [{"key": "a", "value": "a", "offset": 1}], '
        b'"truncated": false, "end": 0}',
        b'',
    ]
    accepted = []

    for body in bodies:

        async def handler(
            exchange: http11.Exchange, body: bytes = body
        ) -> None:
            await exchange.respond(200, {}, body)

        try:
            accepted.append(
                asyncio.run(with_store(handler, lambda c: c.newest('t')))
            )
        except ports.StoreUnavailable:
            continue
    assert not accepted


def test_a_page_whose_connection_this_side_closed_is_no_page() -> None:
    """Closing all connections fails the calls in progress."""
    started = asyncio.Event()

    async def handler(exchange: http11.Exchange) -> None:
        await respond_unframed(exchange, PAGE[:25], end=False)
        started.set()
        await asyncio.Event().wait()

    async def call(client: store_module.StoreClient) -> ports.Page:
        reading = asyncio.ensure_future(
            client.read('t', FIRST_OFFSET, NO_WAIT)
        )
        await started.wait()
        # Let the client receive the bytes.
        await asyncio.sleep(0.05)
        client.reset_connections()
        return await reading

    try:
        page = asyncio.run(with_store(handler, call))
    except ports.StoreUnavailable:
        return
    raise AssertionError(f'{page} was taken for a page')
