"""Client of the log, the host list and the entries, for operators."""

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
"""Limit for a record that is not found on the log."""

RETRY_DELAY = datetime.timedelta(milliseconds=300)
RECORD_ID_BYTES = 12


class Log(typing.Protocol):
    """The platform's log service.

    All methods raise LogUnavailable if the call fails.
    """

    def append(self, stream: str, record: records.Record) -> int:
        """Append ``record`` and return its offset.

        After LogUnavailable the record may still be on the log.
        """

    def read(self, stream: str, start: int) -> reader_module.Page:
        """Return a page of records from offset ``start``."""

    def read_all(self, stream: str) -> list[reader_module.Page]:
        """Return all records that are still held, in pages."""


class HostSource(typing.Protocol):
    """Source of the platform's host list."""

    def read(self) -> hosts.HostList:
        """Return the current list; raises AspenfoldError on failure."""


class FleetClient:
    """Reads and changes the fleet with an operator's settings.

    Unless said otherwise, methods raise LogUnavailable or another
    AspenfoldError if a service is unavailable.
    """

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
        """Return a client of the services that ``cfg`` names."""
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
        """The fleet state at the last offset that was read."""
        return self.reader.state

    @property
    def author(self) -> str:
        """Author of new records: the operator and the login name."""
        return f'{self.cfg.operator}/{getpass.getuser()}'

    def record_header(self) -> dict[str, typing.Any]:
        """Return the fields that all records have, with a new id."""
        return {
            'id': secrets.token_hex(RECORD_ID_BYTES),
            'author': self.author,
            'at': self.clock.now(),
        }

    def catch_up(self) -> list[reader_module.AppliedRecord]:
        """Read the fleet stream to its end; return the applied records."""
        applied = []
        while True:
            page = self._log.read(records.FLEET_STREAM, self.reader.position)
            applied.extend(self.reader.apply_page(page))
            if self.reader.position >= page.next_offset:
                return applied

    def read_records(self) -> list[reader_module.LogRecord]:
        """Return all records that the fleet stream still holds."""
        return [
            record for page in self.read_pages() for record in page.records
        ]

    def read_pages(self) -> list[reader_module.Page]:
        """Return all records of the fleet stream, in pages."""
        return self._log.read_all(records.FLEET_STREAM)

    def append(self, record: records.Record) -> reader_module.AppliedRecord:
        """Append ``record`` and return it with its verdict.

        The response to an append can be lost after the record was stored,
        so the record is looked up on the log.  If it is not found, it is
        appended again.  This is safe: a second copy has no effect, its
        verdict is a conflict or no change.

        Raises ConfigError if it is unknown whether the record was stored.
        """
        for _ in range(MAX_APPEND_ATTEMPTS):
            try:
                self._log.append(records.FLEET_STREAM, record)
                applied = self._find(record.id)
            except exceptions.LogUnavailable:
                self._sleep(RETRY_DELAY.total_seconds())
                applied = self._find_if_available(record.id)
            if applied is not None:
                return applied
        raise exceptions.ConfigError(
            exceptions.Failure(
                code=exceptions.Code.APPEND_UNKNOWN,
                detail='the log service is unavailable; it is unknown '
                'whether the change was accepted',
                remedy='run "aspenfold history" when the log is available '
                'again, before you apply again',
            )
        )

    def list_endpoint_names(self) -> list[str]:
        """Return the sorted names of all endpoints.

        Returns an empty list if the host list cannot be read.
        """
        try:
            host_list = self._hosts.read()
        except exceptions.AspenfoldError:
            return []
        return sorted(
            host.name
            for host in host_list.hosts
            if host.role is hosts.Role.ENDPOINT
        )

    def list_entries(self) -> list[hosts.Host]:
        """Return the hosts that run an entry."""
        host_list = self._hosts.read()
        return [h for h in host_list.hosts if h.role is hosts.Role.ENTRY]

    def fetch_status(self, host: hosts.Host) -> dict[str, typing.Any] | None:
        """Return an entry's status, or None if the request fails."""
        return self._request_json(host, 'GET', '/admin/status', None)

    def fetch_explanation(
        self, host: hosts.Host, body: dict[str, str]
    ) -> dict[str, typing.Any] | None:
        """Return how an entry would route a request.

        ``body`` has the request's organisation, service and operation.
        Returns None if the HTTP request fails.
        """
        return self._request_json(host, 'POST', '/admin/explain', body)

    def _request_json(
        self, host: hosts.Host, method: str, path: str, body: object
    ) -> dict[str, typing.Any] | None:
        pool = http.connection_pool(f'http://{host.address}:{host.port}')
        authorization = f'Bearer {self.cfg.operator_key}'
        try:
            response: dict[str, typing.Any] = http.call_json(
                pool,
                method,
                path,
                body=body,
                headers={'Authorization': authorization},
            )
        except http.ServiceError:
            return None
        finally:
            pool.close()
        return response

    def _find_if_available(
        self, record_id: str
    ) -> reader_module.AppliedRecord | None:
        try:
            return self._find(record_id)
        except exceptions.LogUnavailable:
            return None

    def _find(self, record_id: str) -> reader_module.AppliedRecord | None:
        """Find a record among the new ones; prefer an accepted copy."""
        copies = [
            applied
            for applied in self.catch_up()
            if applied.record.body.get('id') == record_id
        ]
        accepted = [
            applied
            for applied in copies
            if applied.verdict is reducer.Verdict.ACCEPTED
        ]
        return next(iter(accepted + copies), None)
