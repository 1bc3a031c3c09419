"""A small deployment: configurations and a run of one case."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections import abc

from standins_2 import endpoint
from standins_2 import gateways
from standins_2 import store as store_module

HOST = 'desk.example'
MODEL = 'register-llm'
PLAIN = 'register-app'
SETS = 3
EXPERTS = 96
KEY = 'n2ctnfzs989anu6wsjnb'
ORGANISATION = 'ward-office'

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

FIRST_ENDPOINT = 100
STORE = 250
"""The last byte of the addresses of endpoints and of the store."""


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    *,
    timeout_ms: int = 8000,
    attempts: int = 2,
) -> dict[str, object]:
    """Return a route as the operator writes it."""
    is_stream = kind == 'streaming'
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 500 if is_stream else 150,
        'priority': 1,
        'service': service,
        'max_attempts': attempts,
        'allow_anonymous': False,
        'sticky': is_stream,
        'resume_streams': is_stream,
        'target_gap_ms': 120 if is_stream else 0,
    }


def service(name: str, *, has_group: bool = False) -> dict[str, object]:
    """Return a service as the operator writes it."""
    found: dict[str, object] = {
        'name': name,
        'health_path': '/health',
        'max_connections': 96,
        'protocol': 'h1',
        'tls': False,
    }
    if has_group:
        found['engine'] = {
            'slots': 6,
            'kv_capacity_tokens': 140000,
            'link_mbps': 44000.0,
            'stride': 4,
            'models': [{'name': 'm'}],
            'sets': SETS,
            'experts': EXPERTS,
            'placements': 11 * 12 // 4,
            'spare': 4,
            'expert_mb': 2200.0,
            'form_ms': 600.0,
        }
    return found


def config(
    version: int,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
    keys: abc.Sequence[str] = (KEY,),
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {'name': ORGANISATION, 'api_keys': list(keys), 'priority': 1}
        ],
    }


async def put_config(
    store: store_module.Store, value: dict[str, object]
) -> float:
    """Write a configuration; return the time of the acknowledgement."""
    await store.put_json(
        store_module.OPERATIONS, store_module.CONFIG_KEY, value
    )
    return time.monotonic()


class Case:
    """What one case has started, and its record."""

    def __init__(self, folder: pathlib.Path, record: pathlib.Path) -> None:
        self.folder = folder
        self.store = store_module.Store()
        self.gateways: list[gateways.Gateway] = []
        self.endpoints: list[endpoint.Endpoint] = []
        # The port of the gateways' metrics is fixed, so that two runs at a
        # time need different addresses.
        self._network = (
            f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        )
        self._record = record
        self._peer_port = 0
        self._begun_at = time.monotonic()
        self._lines: list[str] = []

    def address(self, number: int) -> str:
        """Return the address of a host of this case."""
        return f'{self._network}.{number}'

    @property
    def store_address(self) -> str:
        """The address of the store's host."""
        return self.address(STORE)

    def seconds(self, at: float) -> float:
        """Return a time as seconds since the start of the case."""
        return at - self._begun_at

    def note(self, text: str) -> None:
        """Add a line to the record."""
        now = self.seconds(time.monotonic())
        self._lines.append(f'{now:8.3f} {text}')
        print(self._lines[-1], flush=True)

    def save(self) -> None:
        """Add what was noted to the record."""
        with self._record.open('a') as record:
            record.write('\n'.join(self._lines) + '\n')

    async def add_endpoint(self, **fields: object) -> endpoint.Endpoint:
        """Start one more endpoint on an address of its own."""
        added = endpoint.Endpoint(store=self.store, **fields)  # type: ignore
        await added.start(self.address(FIRST_ENDPOINT + len(self.endpoints)))
        self.endpoints.append(added)
        return added

    async def add_gateways(
        self, count: int, zone: str, store_address: str
    ) -> None:
        """Start gateways on addresses of their own, at once."""
        first = len(self.gateways)
        if not self.gateways:
            self._peer_port = gateways.free_port(self.address(1))
        added = [
            gateways.Gateway(
                name=f'front-{number}',
                ip=self.address(number),
                zone=zone,
                peer_port=self._peer_port,
                folder=self.folder,
            )
            for number in range(first + 1, first + count + 1)
        ]
        self.gateways += added
        for each in added:
            each.write_settings(store_address)
        await asyncio.gather(*(each.start() for each in added))

    async def stop(self) -> None:
        """End all that the case has started."""
        for each in self.gateways:
            await each.kill()
        for one in self.endpoints:
            await one.stop()


def main(
    play: abc.Callable[[Case], abc.Awaitable[bool]], record: pathlib.Path
) -> None:
    """Play a case and exit; ``play`` returns whether the rule held."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        # What was started is ended also if the case is stopped.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        with tempfile.TemporaryDirectory() as folder:
            case = Case(pathlib.Path(folder), record)
            try:
                async with asyncio.timeout(110):
                    held = await play(case)
            except Exception as exc:
                case.note(f'the case could not run: {exc!r}')
                return COULD_NOT_RUN
            finally:
                await case.stop()
                case.save()
            return HELD if held else BROKEN

    sys.exit(asyncio.run(run()))
