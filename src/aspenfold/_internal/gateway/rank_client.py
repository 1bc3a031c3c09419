"""Calls a group's ranks, through the agent on their host or directly.

Reading an engine's report or counts is free from its own host.  From another
host it costs money, and reading counts makes the whole group pause.  So reads
go through the rank's agent, which forwards them unchanged, and to the engine
itself if no agent answers.

Orders to copy experts go the same way.  If an agent does not answer one
within ``AGENT_ORDER_TIMEOUT``, the next attempt goes to the engine itself.
An agent that forwards an order late does no harm, see
:mod:`aspenfold._internal.expertmaps.map_switch`.

All other orders are given while a pass is held, and go directly to the
engines, so that a frozen agent cannot make its group unavailable.
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
"""How long an agent that did not answer is skipped; it restarts in about a
second."""

AGENT_ORDER_TIMEOUT = datetime.timedelta(milliseconds=100)
"""How long an agent may take to forward an order, which needs some 5 ms."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _AgentState:
    """State of the agent on one host.

    It is not called before ``skipped_until``, and gets no orders before
    ``skipped_for_orders_until``.
    """

    has_answered: bool = False
    skipped_until: datetime.datetime | None = None
    skipped_for_orders_until: datetime.datetime | None = None


T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Reply(typing.Generic[T]):
    """An answer, how long it took, and whether it came through an agent."""

    answer: T
    duration: datetime.timedelta
    via_agent: bool


class RankClient:
    """Calls the ranks of groups."""

    def __init__(
        self,
        *,
        engine: ports.Engine,
        clock: clock_module.Clock,
        agent_port: int,
    ) -> None:
        """``agent_port`` is the port of all agents, 0 if there are none."""
        self._engine = engine
        self._clock = clock
        self._agent_port = agent_port
        self._agents: dict[str, _AgentState] = {}

    async def report(
        self, endpoint: directory.Endpoint, *, agent_only: bool = False
    ) -> rank_protocol.Report | None:
        """Return a rank's report, None if there is no answer.

        With ``agent_only``, call only its agent, which is free.
        """
        reply = await self._call(
            endpoint, self._engine.report, agent_only=agent_only
        )
        if reply is None:
            return None
        age = reply.duration
        if not reply.via_agent:
            age += rank_protocol.MAX_REPORT_AGE
        return dataclasses.replace(reply.answer, age=age)

    async def counts(
        self, endpoint: directory.Endpoint, *, agent_only: bool = False
    ) -> rank_protocol.Counts | None:
        """Return a rank's expert counts, None if there is no answer.

        With ``agent_only``, call only its agent, which is free.
        """
        reply = await self._call(
            endpoint, self._engine.counts, agent_only=agent_only
        )
        return None if reply is None else reply.answer

    async def rank_map(
        self, endpoint: directory.Endpoint
    ) -> rank_protocol.RankMap | None:
        """Return the experts that a rank uses, None if it does not answer."""
        reply = await self._call(endpoint, self._engine.rank_map)
        return None if reply is None else reply.answer

    async def _call(
        self,
        endpoint: directory.Endpoint,
        method: abc.Callable[[str, int], abc.Awaitable[T]],
        *,
        agent_only: bool = False,
    ) -> _Reply[T] | None:
        """Call the rank's agent, then its engine; None without an answer."""
        for address in self._addresses(endpoint):
            via_agent = address.port == self._agent_port
            if agent_only and not via_agent:
                return None
            called_at = self._clock.now()
            try:
                answer = await method(address.host, address.port)
            except ports.EngineUnavailable as exc:
                self._on_no_answer(address, exc)
                continue
            self._on_answer(address)
            duration = self._clock.now() - called_at
            return _Reply(
                answer=answer, duration=duration, via_agent=via_agent
            )
        return None

    async def order(
        self, endpoint: directory.Endpoint, order: rank_protocol.Order
    ) -> rank_protocol.Answer:
        """Send an order once and return the answer.

        After ``Answer.NONE`` the order may still be executed.
        """
        address, direct = self._addresses(endpoint)[0], endpoint.listing
        via_agent = address.port == self._agent_port
        if (
            order.op is not rank_protocol.Op.PREPARE
            or self._skips_agent_for_orders(address)
        ):
            via_agent = False
        if not via_agent:
            return await self._engine.order(direct.host, direct.port, order)
        try:
            async with asyncio.timeout(AGENT_ORDER_TIMEOUT.total_seconds()):
                answer = await self._engine.order(
                    address.host, address.port, order
                )
        except TimeoutError:
            answer = rank_protocol.Answer.NONE
        if answer is rank_protocol.Answer.NONE:
            # Either the agent or its engine did not answer.
            agent_state = self._agents.setdefault(address.host, _AgentState())
            agent_state.skipped_for_orders_until = (
                self._clock.now() + AGENT_RETRY_DELAY
            )
        return answer

    def _addresses(
        self, endpoint: directory.Endpoint
    ) -> list[settings.TcpAddress]:
        """Return the addresses at which to call a rank, preferred first."""
        listing = endpoint.listing
        direct = settings.TcpAddress(host=listing.host, port=listing.port)
        if not self._uses_agent(listing.host):
            return [direct]
        agent = settings.TcpAddress(host=listing.host, port=self._agent_port)
        return [agent, direct]

    def _uses_agent(self, host: str) -> bool:
        if not self._agent_port:
            return False
        agent_state = self._agents.get(host)
        if agent_state is None or agent_state.skipped_until is None:
            return True
        return agent_state.skipped_until <= self._clock.now()

    def _skips_agent_for_orders(self, address: settings.TcpAddress) -> bool:
        agent_state = self._agents.get(address.host)
        if agent_state is None or agent_state.skipped_for_orders_until is None:
            return False
        return agent_state.skipped_for_orders_until > self._clock.now()

    def _on_no_answer(
        self, address: settings.TcpAddress, exc: Exception
    ) -> None:
        if address.port != self._agent_port:
            return
        agent_state = self._agents.setdefault(address.host, _AgentState())
        agent_state.skipped_until = self._clock.now() + AGENT_RETRY_DELAY
        if agent_state.has_answered:
            agent_state.has_answered = False
            events.emit(
                events.Event.AGENT_LOST,
                agent=str(address),
                error=str(exc)[:200],
            )

    def _on_answer(self, address: settings.TcpAddress) -> None:
        if address.port != self._agent_port:
            return
        agent_state = self._agents.setdefault(address.host, _AgentState())
        agent_state.skipped_until = None
        agent_state.has_answered = True
