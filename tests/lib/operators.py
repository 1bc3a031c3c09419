"""Operators' true commands against the log's semantics in memory."""

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
    """The log as one client meets it.

    ``before_append`` runs just before an append takes effect, which is
    where a rival's change lands.  ``lose_answers`` appends take effect
    though they raise; ``fail_appends`` raise without effect.
    """

    def __init__(self, log: fake_log.FakeLog) -> None:
        self.log = log
        self.before_append: abc.Callable[[], None] | None = None
        self.lose_answers = 0
        self.fail_appends = 0

    def append(self, stream: str, record: records.Record) -> int:
        """Append, with the faults that are on."""
        self._check()
        if self.fail_appends:
            self.fail_appends -= 1
            raise exceptions.LogUnavailable('refused')
        if self.before_append is not None:
            rival, self.before_append = self.before_append, None
            rival()
        offset = self.log.append(stream, record)
        if self.lose_answers:
            self.lose_answers -= 1
            raise exceptions.LogUnavailable('answer lost')
        return offset

    def read(self, stream: str, start: int) -> reader.Page:
        """Read a page."""
        self._check()
        return self.log.read(stream, start)

    def read_all(self, stream: str) -> list[reader.Page]:
        """Read everything as one page."""
        self._check()
        return [self.log.read(stream, 1, limit=10**6)]

    def _check(self) -> None:
        if self.log.down:
            raise exceptions.LogUnavailable('down')


class OneHost:
    """A host list of one endpoint and no entries."""

    def read(self) -> hosts.HostList:
        """Return the list."""
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


def operator(log: FlakyLog) -> fleet_client.FleetClient:
    """Return a new operator's view of the platform."""
    return fleet_client.FleetClient(
        cfg=settings.OperatorSettings.model_validate(SETTINGS),
        clock=clock.ManualClock(start=sim_module.START),
        log=log,
        host_source=OneHost(),
        sleep=lambda seconds: None,
    )


def change(
    author: str,
    number: int,
    base_version: int,
    old: patch.Document,
    new: patch.Document,
    at: datetime.datetime = sim_module.START,
) -> records.ConfigChange:
    """Return the record that turns ``old`` into ``new``."""
    return records.ConfigChange(
        id=f'{author}-{number}',
        author=author,
        at=at,
        base_version=base_version,
        digest=patch.digest(new),
        patch=patch.diff(old, new),
    )


def named(document: patch.Document, name: str) -> patch.Document:
    """Return the fleet under another name."""
    renamed: dict[str, typing.Any] = {**document, 'name': name}
    return renamed
