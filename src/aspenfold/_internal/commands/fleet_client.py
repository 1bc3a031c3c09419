"""What the operators' commands share: settings, log, entries."""

from collections import abc
import datetime
import getpass
import secrets
import time
import typing

from aspenfold._internal.configuration import reader as reader_module
from aspenfold._internal.configuration import reducer
from aspenfold._internal.configuration import state as state_module
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records
from aspenfold._internal.models import settings as settings_module
from aspenfold._internal.network import host_list_client
from aspenfold._internal.network import http
from aspenfold._internal.network import log_client

MAX_APPEND_ATTEMPTS = 3
"""How often a record whose fate is unknown is appended again."""

RETRY_DELAY = datetime.timedelta(milliseconds=300)
ID_BYTES = 12


class Log(typing.Protocol):
    """The log service as the commands use it."""

    def append(self, stream: str, record: records.Record) -> int:
        """Append; raises LogUnavailable, perhaps after it took effect."""

    def read(self, stream: str, start: int) -> reader_module.Page:
        """Read a page from ``start``; raises LogUnavailable."""

    def read_all(self, stream: str) -> list[reader_module.Page]:
        """Read all pages; raises LogUnavailable."""


class HostSource(typing.Protocol):
    """The host list as the commands use it."""

    def read(self) -> hosts.HostList:
        """Return the list as the platform shows it now."""


class FleetClient:
    """The platform's services as the operators' commands use them."""

    def __init__(
        self,
        *,
        cfg: settings_module.OperatorSettings,
        clock: clock_module.Clock,
        log: Log,
        host_source: HostSource,
        sleep: abc.Callable[[float], None] = time.sleep,
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.reader = reader_module.FleetReader()
        self._log = log
        self._hosts = host_source
        self._sleep = sleep

    @classmethod
    def connect(cls, cfg: settings_module.OperatorSettings) -> 'FleetClient':
        """Return the platform that ``cfg`` names."""
        return cls(
            cfg=cfg,
            clock=clock_module.SystemClock(),
            log=log_client.LogClient(base_url=cfg.platform.log.url),
            host_source=host_list_client.HostListClient(
                base_url=cfg.platform.host_list.url
            ),
        )

    @property
    def state(self) -> state_module.FleetState:
        """The fleet state as read so far."""
        return self.reader.state

    @property
    def author(self) -> str:
        """Who stands in the audit trail: operator and login name."""
        return f'{self.cfg.operator}/{getpass.getuser()}'

    def record_header(self) -> dict[str, typing.Any]:
        """Return the fields that every record of ours begins with."""
        return {
            'id': secrets.token_hex(ID_BYTES),
            'author': self.author,
            'at': self.clock.now(),
        }

    def catch_up(self) -> list[reader_module.AppliedRecord]:
        """Read the fleet stream to its end; return what was judged."""
        judged = []
        while True:
            page = self._log.read(records.FLEET_STREAM, self.reader.position)
            judged.extend(self.reader.apply_page(page))
            if self.reader.position >= page.next_offset:
                return judged

    def read_records(self) -> list[reader_module.LogRecord]:
        """Return every record that the fleet stream still holds."""
        return [
            record for page in self.read_pages() for record in page.records
        ]

    def read_pages(self) -> list[reader_module.Page]:
        """Return the fleet stream from its oldest record, in pages."""
        return self._log.read_all(records.FLEET_STREAM)

    def append(self, record: records.Record) -> reader_module.AppliedRecord:
        """Append a record and return how all readers judge it.

        The answer of an append can be lost after it took effect, so its
        fate is always learned by reading forward.  A record that is not
        there is appended again: a second copy is judged a conflict or
        no change, by the rules of the fold.
        """
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                self._log.append(records.FLEET_STREAM, record)
                judged = self._find(record.id)
            except exceptions.LogUnavailable:
                self._sleep(RETRY_DELAY.total_seconds())
                judged = self._find_if_up(record.id)
            if judged is not None:
                return judged
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.APPEND_UNKNOWN,
                detail='the log service does not answer, so it is not '
                'known whether the change was accepted',
                remedy='run "aspenfold history" once the log is back, '
                'before you apply again',
            )
        )

    def list_endpoint_names(self) -> list[str]:
        """Return the endpoints of the host list; none if it is down."""
        try:
            listing = self._hosts.read()
        except exceptions.AspenfoldError:
            return []
        return sorted(
            host.name
            for host in listing.hosts
            if host.role is hosts.Role.ENDPOINT
        )

    def list_entries(self) -> list[hosts.Host]:
        """Return the entry hosts of the host list."""
        listing = self._hosts.read()
        return [h for h in listing.hosts if h.role is hosts.Role.ENTRY]

    def fetch_status(self, host: hosts.Host) -> dict[str, typing.Any] | None:
        """Return an entry's status, None if it does not answer."""
        return self._call(host, 'GET', '/admin/status', None)

    def fetch_explanation(
        self, host: hosts.Host, body: dict[str, str]
    ) -> dict[str, typing.Any] | None:
        """Return where an entry would send such a request."""
        return self._call(host, 'POST', '/admin/explain', body)

    def _call(
        self, host: hosts.Host, method: str, path: str, body: object
    ) -> dict[str, typing.Any] | None:
        pool = http.connection_pool(f'http://{host.address}:{host.port}')
        bearer = f'Bearer {self.cfg.operator_key}'
        try:
            answer: dict[str, typing.Any] = http.call_json(
                pool,
                method,
                path,
                body=body,
                headers={'Authorization': bearer},
            )
        except http.ServiceError:
            return None
        finally:
            pool.close()
        return answer

    def _find_if_up(
        self, record_id: str
    ) -> reader_module.AppliedRecord | None:
        try:
            return self._find(record_id)
        except exceptions.LogUnavailable:
            return None

    def _find(self, record_id: str) -> reader_module.AppliedRecord | None:
        found = [
            judged
            for judged in self.catch_up()
            if judged.record.body.get('id') == record_id
        ]
        accepted = [
            judged
            for judged in found
            if judged.verdict is reducer.Verdict.ACCEPTED
        ]
        return next(iter(accepted + found), None)
