"""Plays a planned stop of a gateway that serves streams, and one trouble."""

import asyncio
import signal
from collections import abc

from standins_2 import caller
from standins_2 import deployment
from standins_2 import endpoint
from standins_2 import gateways

RANKS = 4
CALLERS = 12

WORK = endpoint.Work(events=28, interval_s=0.09)
"""A stream of a usual length on the sheet: 28 events in some 2.5 s."""

STABLE_WINDOW_S = 3.0
DEADLINE_MS = 8050

AFTER_SIGTERM_S = 0.1
"""When the callers send: the platform still gives the host connections."""

TROUBLE_DELAY_S = 0.3
"""When the trouble comes, after the callers have sent."""

MODEL_HEADERS = [
    ('X-Aspenfold-Model', 'm'),
    ('X-Aspenfold-Token-Usage', '674,140'),
]


class Callers:
    """Callers that keep their connections to one gateway."""

    def __init__(self, gateway: gateways.Gateway) -> None:
        self._callers = [
            caller.Caller(gateway.ip, gateway.port) for _ in range(CALLERS)
        ]
        self._count = 0

    async def call(self) -> list[caller.Attempt]:
        """Send a request on each connection."""
        return await asyncio.gather(
            *(self._call(one) for one in self._callers)
        )

    async def _call(self, one: caller.Caller) -> caller.Attempt:
        self._count += 1
        parts = f'5c1e07a2:40,{self._count:08x}:634'
        return await one.call(
            method='POST',
            host=deployment.HOST,
            path=f'/notes/{self._count:x}',
            key=deployment.KEY,
            deadline_ms=DEADLINE_MS,
            headers=[
                *MODEL_HEADERS,
                ('X-Aspenfold-Prompt-Prefix-Hash', parts),
            ],
            body=b'prompt ' * 100,
        )

    def close(self) -> None:
        """Close the connections."""
        for one in self._callers:
            one.close()


Trouble = abc.Callable[
    [deployment.Case, gateways.Gateway], abc.Awaitable[None]
]
"""Brings about the disruption of a case, given the gateway that stops."""


async def play(case: deployment.Case, trouble: Trouble) -> bool:
    """Play the case; return whether the rule held."""
    server = case.store.server()
    await server.start(case.store_address)
    await deployment.put_config(
        case.store,
        deployment.config(
            4,
            [
                deployment.route(
                    'notes', '/notes/', 'streaming', deployment.MODEL
                )
            ],
            [deployment.service(deployment.MODEL, has_group=True)],
        ),
    )
    for number in range(RANKS):
        await case.add_endpoint(
            name=f'i-{number}',
            service=deployment.MODEL,
            zone='ke-central-a',
            work=WORK,
            rank=number,
            ranks=RANKS,
            experts=deployment.SETS * deployment.EXPERTS,
        )
    await case.add_gateways(2, 'ke-central-a', server.address)
    await asyncio.sleep(STABLE_WINDOW_S)
    stopped = case.gateways[0]
    callers = Callers(stopped)
    before = await callers.call()
    case.note(f'before: {summary(before)}')
    await asyncio.sleep(STABLE_WINDOW_S)

    stopped.send_signal(signal.SIGTERM)
    case.note(f'SIGTERM to {stopped.name}')
    await asyncio.sleep(AFTER_SIGTERM_S)
    calls = asyncio.create_task(callers.call())
    await asyncio.sleep(TROUBLE_DELAY_S)
    if deployment.has_trouble():
        await trouble(case, stopped)
    attempts = await calls
    callers.close()
    await stopped.wait(gateways.GRACE_S)
    report(case, attempts)
    lost = [one for one in attempts if one.end in ('cut', 'no answer')]
    case.note(
        f'{len(lost)} of {len(attempts)} requests, sent after SIGTERM and '
        f'passed on, ended without a complete answer'
    )
    return not lost


def summary(attempts: list[caller.Attempt]) -> str:
    """Return how the attempts ended, in short."""
    return ', '.join(f'{one.status} {one.end}' for one in attempts)


def report(case: deployment.Case, attempts: list[caller.Attempt]) -> None:
    """Write what was sent, answered and run into the record."""
    for one in attempts:
        runs = [
            f'{run.endpoint} {run.events} events, {run.end}'
            for each in case.endpoints
            for run in each.runs
            if run.attempt_id == one.id
        ]
        kept = 'kept connection' if one.kept_connection else 'new connection'
        case.note(
            f'{one.id} ({kept}) sent at {case.seconds(one.sent_at):.3f}: '
            f'{one.status} {one.end} at {case.seconds(one.ended_at):.3f}, '
            f'{one.events} events; ran at {"; ".join(runs)}'
        )
