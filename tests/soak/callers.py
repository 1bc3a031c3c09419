"""Callers that keep their connections, and one that asks for the plan."""

import asyncio
import itertools
import random
import time

from tests.lib import gateway_rig
from tests.soak import soak_history
from tests.soak import system_under_test

PAUSE_S = (0.02, 0.3)
"""Between two requests of a caller."""

PATIENCE_S = 8.0

LEAVES = 0.05
"""Share of requests whose caller leaves before the answer."""

NEW_CONNECTION = 0.2
"""Share of requests that are sent on a connection of their own."""

PROBE_S = 0.2

_numbers = itertools.count(1)


class Caller:
    """Sends requests to gateways by turns, for ever."""

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        ledger: soak_history.SoakHistory,
        rng: random.Random,
    ) -> None:
        self._system = system
        self._ledger = ledger
        self._rng = rng
        self._kept: dict[
            str, tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = {}

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            gateway = self._rng.choice(self._system.gateways)
            await self._ask(gateway, self._rng.choice(soak_history.PATHS))

    async def _ask(
        self, gateway: system_under_test.GatewayProgram, path: str
    ) -> None:
        try:
            reader, writer = await self._connection(gateway)
        except (OSError, TimeoutError):
            return
        asked = soak_history.RequestRecord(
            attempt=f'soak-{next(_numbers)}',
            path=path,
            gateway=gateway.name,
            incarnation=len(gateway.incarnations),
            sent_at=time.monotonic(),
            left_early=self._rng.random() < LEAVES,
        )
        self._ledger.add(asked)
        try:
            writer.write(_request(asked))
            if asked.left_early:
                await asyncio.sleep(self._rng.uniform(0, 0.2))
                writer.close()
                return
            async with asyncio.timeout(PATIENCE_S):
                asked.answer = await gateway_rig.read_response(reader)
        except (OSError, TimeoutError):
            # Told by the answer that is missing.
            writer.close()
        finally:
            asked.ended_at = time.monotonic()
        self._keep(gateway, asked, reader, writer)

    async def _connection(
        self, gateway: system_under_test.GatewayProgram
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        kept = self._kept.pop(gateway.name, None)
        if kept is not None and not kept[0].at_eof():
            if self._rng.random() >= NEW_CONNECTION:
                return kept
            kept[1].close()
        async with asyncio.timeout(1.0):
            return await asyncio.open_connection(
                '127.0.0.1', gateway.front.port
            )

    def _keep(
        self,
        gateway: system_under_test.GatewayProgram,
        asked: soak_history.RequestRecord,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        answer = asked.answer
        ended = answer is None or not answer.complete
        if answer is not None and not ended:
            ended = answer.headers.get('connection') == 'close'
        if ended:
            writer.close()
            return
        self._kept[gateway.name] = reader, writer


def _request(asked: soak_history.RequestRecord) -> bytes:
    method = 'GET' if asked.path in ('/safe/', '/short/') else 'POST'
    lines = [
        f'{method} {asked.path} HTTP/1.1',
        f'Host: {gateway_rig.HOST}',
        f'X-Aspenfold-Attempt-Id: {asked.attempt}',
        f'X-Aspenfold-Deadline-Remaining-Ms: {int(PATIENCE_S * 1000)}',
        f'Authorization: Bearer {gateway_rig.KEY}',
    ]
    body = b''
    if method == 'POST':
        body = b'x' * 300
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


class Prober:
    """Asks one gateway, past its link, which plan it has."""

    def __init__(
        self,
        *,
        system: system_under_test.SystemUnderTest,
        gateway: system_under_test.GatewayProgram,
        ledger: soak_history.SoakHistory,
    ) -> None:
        self._system = system
        self._gateway = gateway
        self._ledger = ledger
        self._seen: tuple[int, int] = (0, 0)
        self.broken: list[str] = []

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            await asyncio.sleep(PROBE_S)
            await self.probe()

    async def probe(self) -> int:
        """Ask once; return the status, 0 for no answer."""
        system, gateway = self._system, self._gateway
        version, path = system.version, system.probe_path
        accepted_at = system.accepted_at
        incarnation = len(gateway.incarnations)
        sent_at = time.monotonic()
        status = await self._status(path)
        if (version, incarnation) != (
            system.version,
            len(gateway.incarnations),
        ):
            return status
        if status and status not in (404, 503):
            self._seen = incarnation, version
        if status != 404:
            return status
        who = f'{gateway.name}, process {incarnation}'
        if self._seen == (incarnation, version):
            self.broken.append(f'{who} went back behind plan {version}')
        since = max(accepted_at, sent_at - CONFIG_APPLY_S)
        calm = all(
            self._ledger.calm(subject, since, time.monotonic())
            for subject in (gateway.name, 'store')
        )
        if calm and sent_at - accepted_at > CONFIG_APPLY_S:
            self.broken.append(f'{who} has plan {version} too late')
        return status

    async def _status(self, path: str) -> int:
        number = next(_numbers)
        lines = [
            f'GET {path} HTTP/1.1',
            f'Host: {gateway_rig.HOST}',
            f'X-Aspenfold-Attempt-Id: probe-{number}',
        ]
        self._ledger.add(
            soak_history.RequestRecord(
                attempt=f'probe-{number}',
                path='/safe/',
                gateway=self._gateway.name,
                incarnation=len(self._gateway.incarnations),
                sent_at=time.monotonic(),
                left_early=True,
            )
        )
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(
                    self._gateway.host, self._gateway.callers
                )
                writer.write('\r\n'.join([*lines, '', '']).encode())
                answer = await gateway_rig.read_response(reader)
                writer.close()
        except (OSError, TimeoutError):
            return 0
        return answer.status


CONFIG_APPLY_S = 2.0
"""A plan is in force so long after it was accepted."""
