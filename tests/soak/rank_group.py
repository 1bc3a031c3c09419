"""Stand-ins of the ranks of one group, served over HTTP.

Their state is that of the simulated ranks, but orders come from real
gateways.  Orders can be executed late and lose their answers.
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
DEMAND_SHIFT_INTERVAL_S = 1.5
"""Interval at which another expert becomes the busiest."""

TICK_INTERVAL_S = simulated_ranks.TICK_INTERVAL.total_seconds()

OPERATIONS = {
    'prepare': rank_protocol.Op.PREPARE,
    'arm': rank_protocol.Op.ARM,
    'disarm': rank_protocol.Op.DISARM,
    'hold': rank_protocol.Op.HOLD,
    'go': rank_protocol.Op.RELEASE,
}

ANSWER_STATUSES = {
    rank_protocol.Answer.ACCEPTED: 202,
    rank_protocol.Answer.REFUSED: 409,
    rank_protocol.Answer.FENCED: 412,
}

SIMULATION_FAULTS = dataclasses.replace(
    simulated_ranks.NO_FAULTS, leader_starts_per_s=0, idle_fraction=0.3
)
"""No simulated leaders: real gateways lead the group."""

NO_ORDER_FAULTS = (0.0, 0.0)
ORDER_FAULTS = (0.2, 0.1)
"""Fractions of orders that execute late, and whose answer is lost."""

ORDER_DELAY_RANGE_S = (2.0, 8.0)
"""Delay of orders that execute late; on the platform it can reach 12 s."""


class RankGroup:
    """A simulated group of ranks that runs in real time.

    ``order_faults`` holds the fractions of orders that execute late and
    that lose their answer.  ``violation`` is set when a pass begins while
    the ranks use different maps.
    """

    def __init__(self, *, size: int, rng: random.Random) -> None:
        self.simulation = simulated_ranks.SimulatedRanks(
            seed=rng.randrange(1 << 30), size=size, faults=SIMULATION_FAULTS
        )
        self.order_faults = NO_ORDER_FAULTS
        self.violation: simulated_ranks.MixedMapsError | None = None
        self._rng = rng
        self._expert_counts = [[0] * EXPERTS for _ in range(size)]
        self._late_orders: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run passes until one begins while ranks use different maps."""
        loop = asyncio.get_running_loop()
        next_shift_at = 0.0
        busiest = 0
        simulated_until = loop.time()
        while self.violation is None:
            await asyncio.sleep(TICK_INTERVAL_S)
            if loop.time() >= next_shift_at:
                next_shift_at = loop.time() + DEMAND_SHIFT_INTERVAL_S
                busiest = self._rng.randrange(EXPERTS)
            for counts in self._expert_counts:
                for expert in range(EXPERTS):
                    counts[expert] += 80 if expert == busiest else 5
            try:
                while simulated_until < loop.time():
                    simulated_until += TICK_INTERVAL_S
                    self.simulation.run(simulated_ranks.TICK_INTERVAL)
            except simulated_ranks.MixedMapsError as exc:
                self.violation = exc

    def crash_rank(self) -> None:
        """Crash a rank; the group forms again in a later epoch.

        Nothing happens while the group is forming.
        """
        if self.simulation.is_open:
            self.simulation.crash_rank()

    def stop(self) -> None:
        """Drop the orders that are waiting to be executed late."""
        for task in self._late_orders:
            task.cancel()

    def report(self, rank: int, *, fresh: bool) -> dict[str, object] | None:
        """Return a rank's report as JSON fields, None before the first one.

        ``fresh`` reports are up to date; others lag behind.
        """
        report = self.simulation.report(rank, fresh=fresh)
        if report is None:
            return None
        armed = report.armed
        return {
            'group': {
                'name': report.group,
                'epoch': report.epoch,
                'rank': rank,
                'state': 'open' if report.open else 'broken',
            },
            'size': report.size,
            'step': report.step,
            'map': report.version,
            'prepared': report.prepared,
            'armed': armed and {'version': armed.version, 'step': armed.step},
            'held': report.held,
        }

    def counts_or_map(self, rank: int, return_map: bool) -> dict[str, object]:
        """Return a rank's expert counts, or its part of the current map."""
        simulation = self.simulation
        if not return_map:
            return {
                'epoch': simulation.epoch,
                'step': simulation.step,
                'counts': list(self._expert_counts[rank]),
            }
        state = simulation.ranks[rank]
        size = len(simulation.ranks)
        experts = [list(range(rank, EXPERTS, size))]
        if state.map:
            experts = [list(expert_set[rank]) for expert_set in state.map]
        return {'map': {'version': state.version, 'experts': experts}}

    async def execute_order(
        self, rank: int, message: dict[str, typing.Any]
    ) -> int | None:
        """Execute an order; return its HTTP status.

        Returns None if the order executes late or its answer is lost.
        """
        order = rank_protocol.Order(
            rank=rank,
            op=OPERATIONS[message['op']],
            epoch=message['epoch'],
            token=message['fencing_token'],
            version=message.get('version', 0),
            step=message.get('step', 0),
            new_map=_to_tuples(message.get('map', [])),
        )
        late_fraction, lost_fraction = self.order_faults
        if self._rng.random() < late_fraction:
            task = asyncio.create_task(self._execute_late(order))
            self._late_orders.add(task)
            task.add_done_callback(self._late_orders.discard)
            return None
        answer = self.simulation.execute(order)
        if self._rng.random() < lost_fraction:
            return None
        return ANSWER_STATUSES[answer]

    async def _execute_late(self, order: rank_protocol.Order) -> None:
        await asyncio.sleep(self._rng.uniform(*ORDER_DELAY_RANGE_S))
        self.simulation.execute(order)


class RankWorker(platform_worker.Worker):
    """An endpoint that is one rank of a group.

    With ``fresh`` its reports are up to date, as the agent on the rank's
    own host reads them.
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
                body = self._group.report(self._rank, fresh=self._fresh)
                await _respond_json(exchange, body)
            case '/api/picked':
                body = self._group.counts_or_map(self._rank, 'lists' in query)
                await _respond_json(exchange, body)
            case '/api/order':
                message = json.loads(exchange.request.body)
                status = await self._group.execute_order(self._rank, message)
                if status is None:
                    await asyncio.Event().wait()
                await exchange.respond(status or 0)
            case _:
                await super()._handle(exchange)


async def _respond_json(
    exchange: http11.Exchange, body: dict[str, object] | None
) -> None:
    if body is None:
        await exchange.respond(503)
        return
    await exchange.respond(200, {}, json.dumps(body).encode())


def _to_tuples(value: typing.Any) -> typing.Any:
    """Replace lists by tuples, so that maps can be compared and hashed."""
    if isinstance(value, list):
        return tuple(_to_tuples(item) for item in value)
    return value
