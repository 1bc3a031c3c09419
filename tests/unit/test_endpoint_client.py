"""Failed endpoint calls report whether the request may have run."""

import asyncio
import socket
import typing

from aspenfold_standins import sim as sim_module
import pytest

from aspenfold._internal import exceptions
from aspenfold._internal.kernel import frames
from aspenfold._internal.network import endpoint_client

Code = exceptions.Code


class FailureSink:
    """Stores the failure of one attempt."""

    def __init__(self) -> None:
        self.failure: asyncio.Future[exceptions.Failure] = (
            asyncio.get_running_loop().create_future()
        )

    def on_head(self, attempt_id: str, head: frames.Head) -> None:
        """Fail the test."""
        raise AssertionError(head)

    def on_items(self, attempt_id: str, items: tuple[bytes, ...]) -> None:
        """Fail the test."""
        raise AssertionError(items)

    def on_end(self, attempt_id: str) -> None:
        """Fail the test."""
        raise AssertionError(attempt_id)

    def on_failure(self, attempt_id: str, failure: exceptions.Failure) -> None:
        """Store the failure."""
        self.failure.set_result(failure)


def request(operation: str) -> frames.AttemptRequest:
    """Return a request for ``operation``."""
    return frames.AttemptRequest(
        attempt_id='a',
        incarnation='i',
        mode=frames.Mode.RUN,
        call_id='c',
        organisation='o',
        operation=operation,
        priority='interactive',
        body=b'{}',
        digest=b'',
        repeatable=False,
        streamed=False,
        deadline=sim_module.START,
    )


async def failure_of(
    port: int, operation: str, sink: FailureSink | None = None
) -> exceptions.Failure:
    """Call an endpoint on ``port`` and return the failure."""
    sink = sink or FailureSink()
    client = endpoint_client.EndpointClient(
        config=endpoint_client.EndpointConfig(
            base_url=f'http://127.0.0.1:{port}',
            path='',
            kind='plain',
            operations={'job': '/job'},
        ),
        threads=1,
        loop=asyncio.get_running_loop(),
        sink=sink,
    )
    client.start(request(operation))
    try:
        return await sink.failure
    finally:
        client.close()


def close_without_response(server: socket.socket) -> None:
    """Read one request and close the connection without a response."""
    conn, _ = server.accept()
    conn.recv(65536)
    conn.close()


@pytest.mark.parametrize(
    ('operation', 'listening', 'code'),
    [
        ('other', False, Code.UNKNOWN_OPERATION),
        ('job', False, Code.ENDPOINT_UNREACHABLE),
        ('job', True, Code.FATE_UNKNOWN),
    ],
)
def test_failure_code_shows_whether_the_request_may_have_run(
    operation: str, listening: bool, code: Code
) -> None:
    """Only a request that was never sent is reported as not run."""

    async def run() -> exceptions.Failure:
        with socket.create_server(('127.0.0.1', 0)) as server:
            port = server.getsockname()[1]
            if not listening:
                server.close()
                return await failure_of(port, operation)
            loop = asyncio.get_running_loop()
            serving = loop.run_in_executor(
                None, close_without_response, server
            )
            failure = await failure_of(port, operation)
            await serving
            return failure

    failure: typing.Any = asyncio.run(run())
    assert failure.code is code
