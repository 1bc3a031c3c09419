"""Responses of JSON services that end early, at any byte."""

import asyncio
from collections import abc
import json

from aspenfold_standins import http11
import pytest

from aspenfold._internal import exceptions
from aspenfold._internal.network import host_list_client
from aspenfold._internal.network import log_client

PAGE = json.dumps({'records': [], 'first': 1, 'next': 1}).encode()
HOSTS = json.dumps({'version': 1, 'hosts': []}).encode()


def read_log(base_url: str) -> object:
    """Read a page of the log."""
    return log_client.LogClient(base_url=base_url).read('fleet', 1)


def read_hosts(base_url: str) -> object:
    """Read the host list."""
    return host_list_client.HostListClient(base_url=base_url).read()


@pytest.mark.parametrize(
    ('read', 'body'), [(read_log, PAGE), (read_hosts, HOSTS)]
)
def test_a_response_that_ends_early_is_a_failed_call(
    read: abc.Callable[[str], object], body: bytes
) -> None:
    """Its reader tries again; another error would end it for good."""
    sizes = iter(range(len(body)))

    async def handler(exchange: http11.Exchange) -> None:
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        await exchange.write(head + body[: next(sizes)])
        exchange.close()

    async def run() -> None:
        server = http11.Server(handler)
        await server.start()
        url = f'http://127.0.0.1:{server.port}'
        try:
            for _ in range(len(body)):
                with pytest.raises(exceptions.AspenfoldError):
                    await asyncio.to_thread(read, url)
        finally:
            await server.stop()

    asyncio.run(run())
