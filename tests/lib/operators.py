"""Operators' clients on an in-memory log, with faults and changes."""

from collections import abc
import datetime
import typing

from aspenfold._internal.commands import fleet_client
from aspenfold._internal.configuration import patch
from aspenfold._internal.configuration import reader
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import clock
from aspenfold._internal.models import hosts
from aspenfold._internal.models import records
from aspenfold._internal.models import settings
from aspenfold_standins import sim as sim_module
from tests.lib import fake_log

SETTINGS = {
    'operator': 'someone',
    'operator_key': 'operator-key-0123456789',
    'platform': {
        'log': {'address': '127.0.0.1', 'port': 1},
        'host_list': {'address': '127.0.0.1', 'port': 1},
    },
}


class FlakyLog:
    """One client's access to the log, with faults.

    ``before_append`` runs once, just before an append takes effect; a test
    makes a concurrent change there.  The next ``appends_to_fail`` appends
    raise without effect.  Then ``responses_to_lose`` appends take effect but
    raise as well.
    """

    def __init__(self, log: fake_log.FakeLog) -> None:
        self.log = log
        self.before_append: abc.Callable[[], None] | None = None
        self.responses_to_lose = 0
        self.appends_to_fail = 0

    def append(self, stream: str, record: records.Record) -> int:
        """Append a record, subject to the faults, and return its offset.

        Raises LogUnavailable if the append fails or its response is lost.
        """
        self._check()
        if self.appends_to_fail:
            self.appends_to_fail -= 1
            raise exceptions.LogUnavailable('append failed')
        if self.before_append is not None:
            concurrent_change, self.before_append = self.before_append, None
            concurrent_change()
        offset = self.log.append(stream, record)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise exceptions.LogUnavailable('response to the append lost')
        return offset

    def read(self, stream: str, start: int) -> reader.Page:
        """Return a page from offset ``start`` on."""
        self._check()
        return self.log.read(stream, start)

    def read_all(self, stream: str) -> list[reader.Page]:
        """Return all records as one page."""
        self._check()
        return [self.log.read(stream, 1, limit=10**6)]

    def _check(self) -> None:
        if self.log.down:
            raise exceptions.LogUnavailable('log is down')


class SingleHostList:
    """A host list with one endpoint and no entries."""

    def read(self) -> hosts.HostList:
        """Return the host list."""
        host = hosts.Host.model_validate(
            {
                'name': 'till-0',
                'availability_zone': 'zone-a',
                'role': 'endpoint',
                'address': '127.0.0.1',
                'port': 1,
            }
        )
        return hosts.HostList(version=1, hosts=[host])


def new_client(log: FlakyLog) -> fleet_client.FleetClient:
    """Return a client with the test operator's settings; it never sleeps."""
    return fleet_client.FleetClient(
        cfg=settings.OperatorSettings.model_validate(SETTINGS),
        clock=clock.ManualClock(start=sim_module.START),
        log=log,
        host_source=SingleHostList(),
        sleep=lambda seconds: None,
    )


def config_change(
    author: str,
    number: int,
    base_version: int,
    old: patch.Document,
    new: patch.Document,
    at: datetime.datetime = sim_module.START,
) -> records.ConfigChange:
    """Return the record that changes the fleet ``old`` to ``new``."""
    return records.ConfigChange(
        id=f'{author}-{number}',
        author=author,
        at=at,
        base_version=base_version,
        digest=patch.digest(new),
        patch=patch.diff(old, new),
    )


def with_name(document: patch.Document, name: str) -> patch.Document:
    """Return a copy of a fleet document with another name."""
    renamed: dict[str, typing.Any] = {**document, 'name': name}
    return renamed
