"""Clients of the gateways: callers, and probers that check the plan."""

import asyncio
import itertools
import random
import time

from tests.lib import gateway_rig
from tests.soak import soak_history
from tests.soak import system_under_test

REQUEST_PAUSE_RANGE_S = (0.02, 0.3)

CALLER_TIMEOUT_S = 8.0

DISCONNECT_FRACTION = 0.05
"""Fraction of requests whose caller disconnects early."""

NEW_CONNECTION_FRACTION = 0.2
"""Fraction of requests that do not reuse an idle connection."""

HTTP_1_0_FRACTION = 0.2
"""Fraction of requests that speak HTTP/1.0, which ends their connection."""

PROBE_INTERVAL_S = 0.2

_attempt_numbers = itertools.count(1)


class Caller:
    """Sends requests to randomly chosen gateways, one at a time."""

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        history: soak_history.SoakHistory,
        rng: random.Random,
        version_rng: random.Random,
    ) -> None:
        """``version_rng`` draws the versions of HTTP.

        So ``rng`` draws the same requests as for seeds recorded before.
        """
        self._system = system
        self._history = history
        self._rng = rng
        self._version_rng = version_rng
        self._idle_connections: dict[
            str, tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(*REQUEST_PAUSE_RANGE_S))
            gateway = self._rng.choice(self._system.gateways)
            await self._send_request(
                gateway, self._rng.choice(soak_history.REQUEST_PATHS)
            )

    async def _send_request(
        self, gateway: system_under_test.GatewayProgram, path: str
    ) -> None:
        try:
            reader, writer = await self._connect(gateway)
        except (OSError, TimeoutError):
            return
        request = soak_history.RequestRecord(
            attempt_id=f'soak-{next(_attempt_numbers)}',
            path=path,
            gateway=gateway.name,
            process_number=len(gateway.processes),
            sent_at=time.monotonic(),
            disconnected_early=self._rng.random() < DISCONNECT_FRACTION,
        )
        self._history.add_request(request)
        version = 'HTTP/1.1'
        if self._version_rng.random() < HTTP_1_0_FRACTION:
            version = 'HTTP/1.0'
        try:
            writer.write(_request_bytes(request, version))
            if request.disconnected_early:
                await asyncio.sleep(self._rng.uniform(0, 0.2))
                writer.close()
                return
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                request.response = await gateway_rig.read_response(reader)
        except (OSError, TimeoutError):
            # The request stays without a response.
            writer.close()
        finally:
            request.ended_at = time.monotonic()
        self._keep_or_close(gateway, request, reader, writer)

    async def _connect(
        self, gateway: system_under_test.GatewayProgram
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connection = self._idle_connections.pop(gateway.name, None)
        if connection is not None and not connection[0].at_eof():
            if self._rng.random() >= NEW_CONNECTION_FRACTION:
                return connection
            connection[1].close()
        async with asyncio.timeout(1.0):
            return await asyncio.open_connection(
                '127.0.0.1', gateway.caller_link.port
            )

    def _keep_or_close(
        self,
        gateway: system_under_test.GatewayProgram,
        request: soak_history.RequestRecord,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        response = request.response
        must_close = response is None or not response.complete
        if response is not None and not must_close:
            must_close = response.headers.get('connection') == 'close'
        if must_close:
            writer.close()
            return
        self._idle_connections[gateway.name] = reader, writer


def _request_bytes(request: soak_history.RequestRecord, version: str) -> bytes:
    method = 'GET' if request.path in ('/safe/', '/short/') else 'POST'
    lines = [
        f'{method} {request.path} {version}',
        f'Host: {gateway_rig.HOST}',
        f'X-Aspenfold-Attempt-Id: {request.attempt_id}',
        f'X-Aspenfold-Deadline-Remaining-Ms: {int(CALLER_TIMEOUT_S * 1000)}',
        f'Authorization: Bearer {gateway_rig.KEY}',
    ]
    body = b''
    if method == 'POST':
        body = b'x' * 300
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class PlanProber:
    """Checks that one gateway applies new plans in time and keeps them.

    It requests the path that only the newest plan has, directly from the
    gateway rather than through its link proxy.  Failures are appended to
    ``violations``.
    """

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        gateway: system_under_test.GatewayProgram,
        history: soak_history.SoakHistory,
    ) -> None:
        self._system = system
        self._gateway = gateway
        self._history = history
        # Process number and plan version of the last probe that was routed.
        self._last_routed: tuple[int, int] = (0, 0)
        self.violations: list[str] = []

    async def run(self) -> None:
        """Probe at an interval until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            await self.probe()

    async def probe(self) -> int:
        """Request the newest plan's path; return the status or 0.

        0 means that there was no response.
        """
        system, gateway = self._system, self._gateway
        version, path = system.plan_version, system.probe_path
        written_at = system.plan_written_at
        process_number = len(gateway.processes)
        sent_at = time.monotonic()
        status = await self._request_status(path)
        if (version, process_number) != (
            system.plan_version,
            len(gateway.processes),
        ):
            return status
        if status and status not in (404, 503):
            self._last_routed = process_number, version
        if status != 404:
            return status
        process_name = f'{gateway.name}, process {process_number}'
        if self._last_routed == (process_number, version):
            self.violations.append(
                f'{process_name} went back to a plan before {version}'
            )
        since = max(written_at, sent_at - PLAN_APPLY_TIMEOUT_S)
        fault_free = all(
            self._history.is_fault_free(subject, since, time.monotonic())
            for subject in (gateway.name, 'store')
        )
        if fault_free and sent_at - written_at > PLAN_APPLY_TIMEOUT_S:
            self.violations.append(
                f'{process_name} did not apply plan {version} in time'
            )
        return status

    async def _request_status(self, path: str) -> int:
        number = next(_attempt_numbers)
        lines = [
            f'GET {path} HTTP/1.1',
            f'Host: {gateway_rig.HOST}',
            f'X-Aspenfold-Attempt-Id: probe-{number}',
        ]
        self._history.add_request(
            soak_history.RequestRecord(
                attempt_id=f'probe-{number}',
                path='/safe/',
                gateway=self._gateway.name,
                process_number=len(self._gateway.processes),
                sent_at=time.monotonic(),
                disconnected_early=True,
            )
        )
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(
                    self._gateway.host, self._gateway.caller_port
                )
                writer.write('\r\n'.join([*lines, '', '']).encode())
                response = await gateway_rig.read_response(reader)
                writer.close()
        except (OSError, TimeoutError):
            return 0
        return response.status


PLAN_APPLY_TIMEOUT_S = 2.0
"""Time within which a gateway must serve a new plan."""
