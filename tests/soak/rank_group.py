"""Endpoints that are ranks of one group, over HTTP.

The group's state is that of the random histories; here its orders come
from real gateways, and may be carried out seconds late.
"""

import asyncio
import dataclasses
import json
import random
import typing

from aspenfold_standins import http11
from aspenfold_standins import platform_worker

from aspenfold._internal.expertmaps import rank_protocol
from tests.lib import simulated_ranks

EXPERTS = 8
SHIFT_S = 1.5
"""How often other experts are in demand, so that maps change."""

TICK_S = simulated_ranks.TICK_INTERVAL.total_seconds()

OPS = {
    'prepare': rank_protocol.Op.PREPARE,
    'arm': rank_protocol.Op.ARM,
    'disarm': rank_protocol.Op.DISARM,
    'hold': rank_protocol.Op.HOLD,
    'go': rank_protocol.Op.RELEASE,
}

STATUS = {
    rank_protocol.Answer.ACCEPTED: 202,
    rank_protocol.Answer.REFUSED: 409,
    rank_protocol.Answer.FENCED: 412,
}

NO_LEADERS = dataclasses.replace(
    simulated_ranks.NO_FAULTS, leader_starts_per_s=0, idle_fraction=0.3
)

CALM = (0.0, 0.0)
TROUBLED = (0.2, 0.1)
"""Shares of orders that are carried out late, and whose answer is lost."""

LATE_S = (2.0, 8.0)
"""How late orders are carried out; the platform's may be 12 s."""


class RankGroup:
    """A group of ranks whose passes begin in real time."""

    def __init__(self, *, size: int, rng: random.Random) -> None:
        self.simulation = simulated_ranks.SimulatedRanks(
            seed=rng.randrange(1 << 30), size=size, faults=NO_LEADERS
        )
        self.lost = CALM
        self.violation: simulated_ranks.MixedMapsError | None = None
        self._rng = rng
        self._counts = [[0] * EXPERTS for _ in range(size)]
        self._late: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Begin passes for ever, until one begins with two maps."""
        loop = asyncio.get_running_loop()
        shift_at = 0.0
        hot = 0
        done = loop.time()
        while self.violation is None:
            await asyncio.sleep(TICK_S)
            if loop.time() >= shift_at:
                shift_at = loop.time() + SHIFT_S
                hot = self._rng.randrange(EXPERTS)
            for counts in self._counts:
                for expert in range(EXPERTS):
                    counts[expert] += 80 if expert == hot else 5
            try:
                while done < loop.time():
                    done += TICK_S
                    self.simulation.run(simulated_ranks.TICK_INTERVAL)
            except simulated_ranks.MixedMapsError as exc:
                self.violation = exc

    def crash(self) -> None:
        """Lose a rank: the group forms anew in a later epoch."""
        if self.simulation.is_open:
            self.simulation.crash_rank()

    def stop(self) -> None:
        """Carry out no late order any more."""
        for task in self._late:
            task.cancel()

    # -- calls -----------------------------------------------------------

    def report(self, rank: int, *, fresh: bool) -> dict[str, object] | None:
        """Return a rank's report as it goes over the wire."""
        found = self.simulation.report(rank, fresh=fresh)
        if found is None:
            return None
        armed = found.armed
        return {
            'group': {
                'name': found.group,
                'epoch': found.epoch,
                'rank': rank,
                'state': 'open' if found.open else 'broken',
            },
            'size': found.size,
            'step': found.step,
            'map': found.version,
            'prepared': found.prepared,
            'armed': armed and {'version': armed.version, 'step': armed.step},
            'held': found.held,
        }

    def picked(self, rank: int, lists: bool) -> dict[str, object]:
        """Return a rank's counts, or its part of the map in use."""
        simulation = self.simulation
        if not lists:
            return {
                'epoch': simulation.epoch,
                'step': simulation.step,
                'counts': list(self._counts[rank]),
            }
        state = simulation.ranks[rank]
        size = len(simulation.ranks)
        experts = [list(range(rank, EXPERTS, size))]
        if state.map:
            experts = [list(one_set[rank]) for one_set in state.map]
        return {'map': {'version': state.version, 'experts': experts}}

    async def order(
        self, rank: int, message: dict[str, typing.Any]
    ) -> int | None:
        """Carry an order out; None: no answer is to be given."""
        order = rank_protocol.Order(
            rank=rank,
            op=OPS[message['op']],
            epoch=message['epoch'],
            token=message['fencing_token'],
            version=message.get('version', 0),
            step=message.get('step', 0),
            new_map=_frozen(message.get('map', [])),
        )
        late, lost = self.lost
        if self._rng.random() < late:
            task = asyncio.create_task(self._carry_out_late(order))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return None
        answer = self.simulation.execute(order)
        if self._rng.random() < lost:
            return None
        return STATUS[answer]

    async def _carry_out_late(self, order: rank_protocol.Order) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_S))
        self.simulation.execute(order)


class RankWorker(platform_worker.Worker):
    """An endpoint that is one rank of a group.

    Its own host gets ``fresh`` reports, at a port of its own here.
    """

    def __init__(
        self, name: str, *, group: RankGroup, rank: int, fresh: bool = False
    ) -> None:
        super().__init__(name)
        self._group = group
        self._rank = rank
        self._fresh = fresh

    async def _handle(self, exchange: http11.Exchange) -> None:
        path, _, query = exchange.request.target.partition('?')
        match path:
            case '/api/report':
                found = self._group.report(self._rank, fresh=self._fresh)
                await _json(exchange, found)
            case '/api/picked':
                found = self._group.picked(self._rank, 'lists' in query)
                await _json(exchange, found)
            case '/api/order':
                message = json.loads(exchange.request.body)
                status = await self._group.order(self._rank, message)
                if status is None:
                    await asyncio.Event().wait()
                await exchange.respond(status or 0)
            case _:
                await super()._handle(exchange)


async def _json(
    exchange: http11.Exchange, body: dict[str, object] | None
) -> None:
    if body is None:
        await exchange.respond(503)
        return
    await exchange.respond(200, {}, json.dumps(body).encode())


def _frozen(value: typing.Any) -> typing.Any:
    """Return lists as tuples, so that maps can be compared as wholes."""
    if isinstance(value, list):
        return tuple(_frozen(item) for item in value)
    return value
