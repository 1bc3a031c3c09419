"""HTTP client of model engines: reports, expert counts and orders."""

import asyncio

import orjson
import pydantic

from aspenfold._internal.expertmaps import rank_protocol
from aspenfold._internal.gateway import ports
from aspenfold._internal.network import http1_client

CONNECT_TIMEOUT_S = 0.3
"""The longest round trip between zones is 3 ms."""

CALL_TIMEOUT_S = 0.4
"""Engines respond within milliseconds or, to late orders, not at all."""

MAX_RESPONSE_BYTES = 1_048_576
"""Size limit of a response; counts and maps of the largest groups have some
100,000 numbers."""

MIN_SLOWDOWN = 0.1
"""Reported slowdowns below this are implausible and raised to it."""

REPORT_TARGET = b'/api/report'
COUNTS_TARGET = b'/api/picked'
MAP_TARGET = b'/api/picked?lists=1'
ORDER_TARGET = b'/api/order'

READ_TARGETS = frozenset({REPORT_TARGET, COUNTS_TARGET, MAP_TARGET})
"""Targets that leaders read; agents forward only these and orders."""

OP_NAMES = {
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
"""Meaning of an order's HTTP status; any other means REFUSED."""


class _WireModel(pydantic.BaseModel):
    """Base of the engine's messages; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Group(_WireModel):
    name: str
    epoch: int
    rank: int
    state: str


class _Armed(_WireModel):
    version: int
    step: int


IGNORED_REPORT_FIELDS = frozenset(
    {
        'stage',
        'models',
        'busy',
        'sequence',
        'queued',
        'running',
        'kv_used',
        'kv_total',
        'handles',
        'born',
    }
)
"""Fields that no decision depends on; docs/PLATFORM.md says why."""


class _Report(_WireModel):
    model_config = pydantic.ConfigDict(extra='allow', frozen=True)

    group: _Group
    # Ranks in the group, not requests.
    size: int
    # The rank's slowdown; 1 is normal.
    pace: float = 1.0
    # The last pass that was started.
    step: int
    map: int
    prepared: int | None = None
    armed: _Armed | None = None
    # The pass that the group does not start until it is released.
    held: int | None = None


class _Counts(_WireModel):
    epoch: int
    step: int
    # One count for each expert, set of layers by set of layers.
    counts: list[int]


class _RankMap(_WireModel):
    version: int
    # This rank's experts, for each set of layers.
    experts: list[list[int]]


class _Lists(_WireModel):
    map: _RankMap


class EngineClient:
    """Calls engines at the addresses of their endpoints."""

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], http1_client.Connection] = {}

    async def report(self, host: str, port: int) -> rank_protocol.Report:
        """Return a rank's state.

        Raises ports.EngineUnavailable.
        """
        body = await self._get(host, port, REPORT_TARGET)
        try:
            decoded = _Report.model_validate_json(body)
        except pydantic.ValidationError as exc:
            raise ports.EngineUnavailable(f'invalid report: {exc}') from exc
        armed = None
        if decoded.armed is not None:
            armed = rank_protocol.Armed(
                version=decoded.armed.version, step=decoded.armed.step
            )
        return rank_protocol.Report(
            group=decoded.group.name,
            epoch=decoded.group.epoch,
            rank=decoded.group.rank,
            size=decoded.size,
            open=decoded.group.state == 'open',
            step=decoded.step,
            version=decoded.map,
            prepared=decoded.prepared,
            armed=armed,
            held=decoded.held,
            slowdown=max(MIN_SLOWDOWN, decoded.pace),
            unknown_fields=tuple(
                sorted(
                    (decoded.model_extra or {}).keys() - IGNORED_REPORT_FIELDS
                )
            ),
        )

    async def counts(self, host: str, port: int) -> rank_protocol.Counts:
        """Return how often the rank's requests chose each expert.

        Raises ports.EngineUnavailable.
        """
        body = await self._get(host, port, COUNTS_TARGET)
        try:
            decoded = _Counts.model_validate_json(body)
        except pydantic.ValidationError as exc:
            raise ports.EngineUnavailable(f'invalid counts: {exc}') from exc
        return rank_protocol.Counts(
            epoch=decoded.epoch, counts=tuple(decoded.counts)
        )

    async def rank_map(self, host: str, port: int) -> rank_protocol.RankMap:
        """Return the experts that the rank uses.

        Raises ports.EngineUnavailable.
        """
        body = await self._get(host, port, MAP_TARGET)
        try:
            decoded = _Lists.model_validate_json(body).map
        except pydantic.ValidationError as exc:
            raise ports.EngineUnavailable(f'invalid map: {exc}') from exc
        return rank_protocol.RankMap(
            version=decoded.version,
            experts=tuple(tuple(experts) for experts in decoded.experts),
        )

    async def order(
        self, host: str, port: int, order: rank_protocol.Order
    ) -> rank_protocol.Answer:
        """Send an order; return Answer.NONE if there is no response."""
        message: dict[str, object] = {
            'op': OP_NAMES[order.op],
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
            raise ports.EngineUnavailable(f'status {status}')
        return body

    async def forward(
        self, host: str, port: int, target: bytes, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Send a GET request, or a POST request if there is a ``body``.

        Return the response's status and body.  Raises
        ports.EngineUnavailable.
        """
        if not body:
            return await self._call(host, port, b'GET', target, b'')
        # Use a new connection for the order and for the next report, so
        # that a duplicated response to an earlier call is not taken for
        # the response to this one.
        self._close_idle(host, port)
        return await self._call(host, port, b'POST', target, body)

    async def _call(
        self, host: str, port: int, method: bytes, target: bytes, body: bytes
    ) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._exchange(host, port, method, target, body)
        except TimeoutError:
            raise ports.EngineUnavailable('no response in time') from None
        except (
            http1_client.ConnectionLost,
            http1_client.NotConnected,
        ) as exc:
            raise ports.EngineUnavailable(str(exc)) from exc

    async def _exchange(
        self, host: str, port: int, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        idle = self._idle.pop((host, port), None)
        if idle is not None and idle.reusable:
            connection = idle
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
            response = await connection.request(
                method,
                path,
                headers,
                body,
                max_body_bytes=MAX_RESPONSE_BYTES,
            )
        except BaseException:
            # This includes a timeout, which cancels the request.
            connection.close()
            raise
        if connection.reusable and method == b'GET':
            self._close_idle(host, port)
            self._idle[host, port] = connection
        else:
            connection.close()
        return response

    def _close_idle(self, host: str, port: int) -> None:
        """Close the idle connection to an engine, if there is one."""
        idle = self._idle.pop((host, port), None)
        if idle is not None:
            idle.close()
