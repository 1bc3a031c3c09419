"""``aspenfold-plan``: shows and releases what is in quarantine."""

import datetime

from aspenfold._internal.commands import exit_status
from aspenfold._internal.commands import output
from aspenfold._internal import exceptions
from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import peer_discovery
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import quarantine_records
from aspenfold._internal.kernel import clock

Fingerprint = fingerprints.Fingerprint

Holds = dict[Fingerprint, quarantine_records.HoldRecord]


async def read_holds(platform: ports.Platform) -> Holds:
    """Return the quarantines in the store, released ones too."""
    page = await platform.store.newest(peer_discovery.TOPIC)
    return quarantine_records.parse_holds(page)


async def write_release(
    platform: ports.Platform, fingerprint: Fingerprint, now: datetime.datetime
) -> Holds:
    """Release a fingerprint if it is in quarantine; return all of them."""
    holds = await read_holds(platform)
    known = holds.get(fingerprint)
    if known is None or known.released_ms is not None:
        return holds
    released = known.model_copy(update={'released_ms': clock.to_unix_ms(now)})
    key = f'{quarantine_records.HOLD_PREFIX}{fingerprint}'
    value = released.model_dump_json().encode()
    await platform.store.put(peer_discovery.TOPIC, key, value)
    return holds


class QuarantineCommand:
    """Lists what is kept from all endpoints."""

    def run(self, holds: Holds, *, as_json: bool) -> exit_status.ExitStatus:
        """Print a row for each fingerprint, the latest last."""
        ordered = sorted(holds.items(), key=lambda item: item[1].begun_ms)
        rows = [_row(fingerprint, hold) for fingerprint, hold in ordered]
        output.print_rows(rows, as_json=as_json)
        return exit_status.ExitStatus.OK


def _row(
    fingerprint: Fingerprint, hold: quarantine_records.HoldRecord
) -> output.Row:
    kind = 'request' if fingerprints.is_request(fingerprint) else 'part'
    released = ''
    if hold.released_ms is not None:
        released = _time(hold.released_ms)
    return {
        'fingerprint': fingerprint,
        'kind': kind,
        'crashes': hold.crashes,
        'since': _time(hold.begun_ms),
        'last_request': _time(hold.seen_ms),
        'released': released,
    }


def _time(unix_ms: int) -> str:
    return clock.from_unix_ms(unix_ms).isoformat(timespec='seconds')


class ReleaseCommand:
    """Tells what became of a release."""

    def run(
        self, fingerprint: Fingerprint, before: Holds, *, as_json: bool
    ) -> exit_status.ExitStatus:
        """Print the quarantine as it was ``before`` its release.

        Raises ConfigError if there was none.
        """
        known = before.get(fingerprint)
        if known is None or known.released_ms is not None:
            raise exceptions.ConfigError(
                exceptions.Failure(
                    code=exceptions.Code.NOT_FOUND,
                    detail=f'{fingerprint} is not in quarantine',
                    field='fingerprint',
                    remedy='see aspenfold-plan quarantine',
                )
            )
        output.print_rows([_row(fingerprint, known)], as_json=as_json)
        return exit_status.ExitStatus.OK
