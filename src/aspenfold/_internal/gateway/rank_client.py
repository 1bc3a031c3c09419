"""Calls a group's ranks: through the agent on their host, or directly.

An engine's counts and reports cost nothing from its own host; from
another one they are paid for, and reading counts makes the whole group
pause.  So a leader asks the rank's agent, which passes the question on
unchanged, and the engine itself where no agent answers.

Orders to copy experts go the same way, which saves the price of half of
all orders; an agent that does not answer one within a tenth of a second is
passed over, so that the order's next sending goes to the engine itself.
That an agent may wake up and pass an order on much later changes nothing:
engines themselves may carry orders out late, and
:mod:`aspenfold._internal.expertmaps.switch` counts on it.

All other orders are given while a pass is held, and go to the engines
themselves: with them through agents, one that froze kept its group standing
for 4.6 s, and what had waited kept others late for 6 s more.
"""

import asyncio
from collections import abc
import dataclasses
import datetime
import typing

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import settings
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

AGENT_RETRY_DELAY = datetime.timedelta(seconds=2)
"""How long an agent that did not answer is passed over: a process that
ended is back within about a second."""

AGENT_ORDER_TIMEOUT = datetime.timedelta(milliseconds=100)
"""How long an agent may take for an order, which takes it some 5 ms."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Agent:
    """What is known of the agent on a rank's host.

    It is passed over for all calls, or for orders only, until a time.
    """

    answered: bool = False
    passed_over_until: datetime.datetime | None = None
    orders_over_until: datetime.datetime | None = None


T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Asked(typing.Generic[T]):
    """An answer, how long it took, and whether an agent passed it on."""

    answer: T
    took: datetime.timedelta
    by_agent: bool


class RankClient:
    """Calls ranks for one leader."""

    def __init__(
        self,
        *,
        engine: ports.Engine,
        clock: clock_module.Clock,
        agent_port: int,
    ) -> None:
        """Agents listen on ``agent_port``; 0: there are none."""
        self._engine = engine
        self._clock = clock
        self._agent_port = agent_port
        self._agents: dict[str, _Agent] = {}

    async def report(
        self, endpoint: directory.Endpoint, *, agent_only: bool = False
    ) -> rank_protocol.Report | None:
        """Return a rank's report, None if it is silent.

        ``agent_only``: only through its agent.
        """
        asked = await self._ask(
            endpoint, self._engine.report, agent_only=agent_only
        )
        if asked is None:
            return None
        age = asked.took
        if not asked.by_agent:
            age += rank_protocol.MAX_REPORT_AGE
        return dataclasses.replace(asked.answer, age=age)

    async def counts(
        self, endpoint: directory.Endpoint, *, agent_only: bool = False
    ) -> rank_protocol.Counts | None:
        """Return a rank's counts, None if it is silent.

        ``agent_only``: only through its agent.
        """
        asked = await self._ask(
            endpoint, self._engine.counts, agent_only=agent_only
        )
        return None if asked is None else asked.answer

    async def held(
        self, endpoint: directory.Endpoint
    ) -> rank_protocol.RankMap | None:
        """Return the experts that a rank uses, None if it is silent."""
        asked = await self._ask(endpoint, self._engine.held)
        return None if asked is None else asked.answer

    async def _ask(
        self,
        endpoint: directory.Endpoint,
        question: abc.Callable[[str, int], abc.Awaitable[T]],
        *,
        agent_only: bool = False,
    ) -> _Asked[T] | None:
        """Ask the rank's agent, then its engine; None if both are silent."""
        for address in self._addresses(endpoint):
            by_agent = address.port == self._agent_port
            if agent_only and not by_agent:
                return None
            asked_at = self._clock.now()
            try:
                answer = await question(address.host, address.port)
            except ports.EngineUnavailable as exc:
                self._silent(address, exc)
                continue
            self._answered(address)
            took = self._clock.now() - asked_at
            return _Asked(answer=answer, took=took, by_agent=by_agent)
        return None

    async def order(
        self, endpoint: directory.Endpoint, order: rank_protocol.Order
    ) -> rank_protocol.Answer:
        """Give an order once; one without an answer may be taken."""
        address, direct = self._addresses(endpoint)[0], endpoint.listing
        by_agent = address.port == self._agent_port
        if order.op is not rank_protocol.Op.PREPARE or self._orders_over(
            address
        ):
            by_agent = False
        if not by_agent:
            return await self._engine.order(direct.host, direct.port, order)
        try:
            async with asyncio.timeout(AGENT_ORDER_TIMEOUT.total_seconds()):
                answer = await self._engine.order(
                    address.host, address.port, order
                )
        except TimeoutError:
            answer = rank_protocol.Answer.NONE
        if answer is rank_protocol.Answer.NONE:
            # The agent's silence or its engine's: that cannot be told.
            known = self._agents.setdefault(address.host, _Agent())
            known.orders_over_until = self._clock.now() + AGENT_RETRY_DELAY
        return answer

    # -- which way -------------------------------------------------------

    def _addresses(
        self, endpoint: directory.Endpoint
    ) -> list[settings.TcpAddress]:
        listing = endpoint.listing
        direct = settings.TcpAddress(host=listing.host, port=listing.port)
        if not self._by_agent(listing.host):
            return [direct]
        agent = settings.TcpAddress(host=listing.host, port=self._agent_port)
        return [agent, direct]

    def _by_agent(self, host: str) -> bool:
        if not self._agent_port:
            return False
        known = self._agents.get(host)
        if known is None or known.passed_over_until is None:
            return True
        return known.passed_over_until <= self._clock.now()

    def _orders_over(self, address: settings.TcpAddress) -> bool:
        known = self._agents.get(address.host)
        if known is None or known.orders_over_until is None:
            return False
        return known.orders_over_until > self._clock.now()

    def _silent(self, address: settings.TcpAddress, exc: Exception) -> None:
        if address.port != self._agent_port:
            return
        known = self._agents.setdefault(address.host, _Agent())
        known.passed_over_until = self._clock.now() + AGENT_RETRY_DELAY
        if known.answered:
            known.answered = False
            events.emit(
                events.Event.AGENT_LOST,
                agent=str(address),
                error=str(exc)[:200],
            )

    def _answered(self, address: settings.TcpAddress) -> None:
        if address.port != self._agent_port:
            return
        known = self._agents.setdefault(address.host, _Agent())
        known.passed_over_until = None
        known.answered = True
