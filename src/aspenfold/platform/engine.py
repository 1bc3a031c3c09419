"""Speaks with model engines: reports, counts and map orders."""

import asyncio

import orjson
import pydantic

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import ports
from aspenfold._internal.network import http1_client

CONNECT_TIMEOUT_S = 0.3
"""As for requests: the longest round trip between zones is 3 ms."""

CALL_TIMEOUT_S = 0.4
"""Engines answer in a few milliseconds, or, when orders are late,
never."""

MIN_SLOWDOWN = 0.1
"""A faster rank than this is taken to report nonsense."""

REPORT_TARGET = b'/api/report'
COUNTS_TARGET = b'/api/picked'
MAP_TARGET = b'/api/picked?lists=1'
ORDER_TARGET = b'/api/order'

READ_TARGETS = frozenset({REPORT_TARGET, COUNTS_TARGET, MAP_TARGET})
"""What leaders ask of an engine; beside these an agent passes on orders."""

WIRE_OPS = {
    rank_protocol.Op.PREPARE: 'prepare',
    rank_protocol.Op.ARM: 'arm',
    rank_protocol.Op.DISARM: 'disarm',
    rank_protocol.Op.HOLD: 'hold',
    rank_protocol.Op.RELEASE: 'go',
}

ANSWER_BY_STATUS = {
    200: rank_protocol.Answer.ACCEPTED,
    202: rank_protocol.Answer.ACCEPTED,
    412: rank_protocol.Answer.FENCED,
}
"""What an order's status means; all others refuse it."""


class _Border(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Group(_Border):
    name: str
    epoch: int
    rank: int
    state: str


class _Armed(_Border):
    version: int
    step: int


class _Report(_Border):
    group: _Group
    # Ranks in the group, not requests.
    size: int
    # How much longer the rank's work takes than it should.
    pace: float = 1.0
    # The last pass that was begun.
    step: int
    map: int
    prepared: int | None = None
    armed: _Armed | None = None
    # The pass that the group does not begin.
    held: int | None = None


class _Counts(_Border):
    epoch: int
    step: int
    # For each set of layers in turn, a number for each expert.
    counts: list[int]


class _RankMap(_Border):
    version: int
    # The experts of this rank, for each set of layers.
    experts: list[list[int]]


class _Lists(_Border):
    map: _RankMap


class EngineClient:
    """Calls the engine behind an endpoint's address."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], http1_client.Connection] = {}

    async def report(self, host: str, port: int) -> rank_protocol.Report:
        """Return a rank's report, or raise ``ports.EngineUnavailable``."""
        body = await self._get(host, port, REPORT_TARGET)
        try:
            found = _Report.model_validate_json(body)
        except pydantic.ValidationError as exc:
            raise ports.EngineUnavailable(f'not a report: {exc}') from exc
        armed = None
        if found.armed is not None:
            armed = rank_protocol.Armed(
                version=found.armed.version, step=found.armed.step
            )
        return rank_protocol.Report(
            group=found.group.name,
            epoch=found.group.epoch,
            rank=found.group.rank,
            size=found.size,
            open=found.group.state == 'open',
            step=found.step,
            version=found.map,
            prepared=found.prepared,
            armed=armed,
            held=found.held,
            slowdown=max(MIN_SLOWDOWN, found.pace),
        )

    async def counts(self, host: str, port: int) -> rank_protocol.Counts:
        """Return how often the rank's requests chose each expert."""
        body = await self._get(host, port, COUNTS_TARGET)
        try:
            found = _Counts.model_validate_json(body)
        except pydantic.ValidationError as exc:
            raise ports.EngineUnavailable(f'not counts: {exc}') from exc
        return rank_protocol.Counts(
            epoch=found.epoch, counts=tuple(found.counts)
        )

    async def rank_map(self, host: str, port: int) -> rank_protocol.RankMap:
        """Return the experts that the rank uses."""
        body = await self._get(host, port, MAP_TARGET)
        try:
            found = _Lists.model_validate_json(body).map
        except pydantic.ValidationError as exc:
            raise ports.EngineUnavailable(f'not a map: {exc}') from exc
        return rank_protocol.RankMap(
            version=found.version,
            experts=tuple(tuple(experts) for experts in found.experts),
        )

    async def order(
        self, host: str, port: int, order: rank_protocol.Order
    ) -> rank_protocol.Answer:
        """Give an order; silence is one of its answers."""
        message: dict[str, object] = {
            'op': WIRE_OPS[order.op],
            'epoch': order.epoch,
            'fencing_token': order.token,
        }
        if order.version:
            message['version'] = order.version
        if order.step:
            message['step'] = order.step
        if order.new_map:
            message['map'] = order.new_map
        try:
            status, _ = await self.forward(
                host, port, ORDER_TARGET, orjson.dumps(message)
            )
        except ports.EngineUnavailable:
            return rank_protocol.Answer.NONE
        return ANSWER_BY_STATUS.get(status, rank_protocol.Answer.REFUSED)

    async def _get(self, host: str, port: int, path: bytes) -> bytes:
        status, body = await self.forward(host, port, path)
        if status != 200:
            raise ports.EngineUnavailable(f'answered {status}')
        return body

    async def forward(
        self, host: str, port: int, target: bytes, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Ask as it stands, or order by a ``body``.

        Return the answer's status and body.  Raises
        ``ports.EngineUnavailable``.
        """
        if not body:
            return await self._call(host, port, b'GET', target, b'')
        # On a connection of its own, and reports after it on new ones: a
        # doubled answer to an earlier call must not pass for this one's.
        self._drop(host, port)
        return await self._call(host, port, b'POST', target, body)

    async def _call(
        self, host: str, port: int, method: bytes, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._exchange(host, port, method, target, body)
        except TimeoutError:
            raise ports.EngineUnavailable('no answer in time') from None
        except (
            http1_client.ConnectionLost,
            http1_client.NotConnected,
        ) as exc:
            raise ports.EngineUnavailable(str(exc)) from exc

    async def _exchange(
        self, host: str, port: int, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        kept = self._idle.pop((host, port), None)
        if kept is not None and kept.reusable:
            connection = kept
        else:
            connection = await http1_client.connect(
                host, port, CONNECT_TIMEOUT_S
            )
        headers = [(b'host', f'{host}:{port}'.encode())]
        if body:
            headers += [
                (b'content-type', b'application/json'),
                (b'content-length', str(len(body)).encode()),
            ]
        try:
            answer = await connection.request(method, path, headers, body)
        except BaseException:
            # A call that is given up must not keep its connection.
            connection.close()
            raise
        if connection.reusable and method == b'GET':
            self._drop(host, port)
            self._idle[host, port] = connection
        else:
            connection.close()
        return answer

    def _drop(self, host: str, port: int) -> None:
        """Close the connection that is kept for the next report."""
        kept = self._idle.pop((host, port), None)
        if kept is not None:
            kept.close()
