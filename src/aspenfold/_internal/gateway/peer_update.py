"""The datagram in which a gateway tells its state to its peers.

It is a JSON list; other versions may send fewer or more fields.
"""

import dataclasses
import datetime

import orjson

from aspenfold._internal.gateway import ages
from aspenfold._internal.gateway import quarantine_report
from aspenfold._internal.gateway import rate_limits

MAX_DATAGRAM_BYTES = 1400
"""Below the packet size of common networks."""


class InvalidUpdate(ValueError):
    """A datagram is not an update."""


@dataclasses.dataclass(kw_only=True, slots=True)
class PeerUpdate:
    """The state that one gateway sends to its peers.

    ``in_flight_counts`` are its requests in flight by endpoint.
    ``plan_offset`` is the offset of its newest plan.  ``token`` is the
    fencing token of a leader, else 0; a leader also sends the
    ``slowdowns`` of slow endpoints.  ``is_reader`` is whether it reads the
    store itself.  ``recovery_ages`` is how long ago groups recovered.
    ``rate_reports`` are on endpoints with rate limits, ``quarantine`` is on
    requests under which endpoints ended.  ``uptime`` is how long the process
    had run when it sent this.
    """

    host: str
    incarnation: str
    sequence: int
    in_flight_counts: dict[str, int]
    plan_offset: int
    token: int
    slowdowns: dict[str, float]
    zone: str
    is_reader: bool
    recovery_ages: dict[str, datetime.timedelta]
    rate_reports: dict[str, rate_limits.Report]
    uptime: datetime.timedelta | None = None
    quarantine: quarantine_report.Report = quarantine_report.EMPTY


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EncodedUpdate:
    """An update as a datagram.

    ``omitted`` endpoints with the fewest requests in flight had to be left
    out; ``data`` is None if the rest is still too large.
    """

    data: bytes | None
    omitted: int


def encode(update: PeerUpdate) -> EncodedUpdate:
    """Encode an update within MAX_DATAGRAM_BYTES.

    Requests in flight only help to choose an endpoint, so that some may be
    left out; next, the least telling crashes.  Everything else must arrive.
    """
    counts = dict(
        sorted(update.in_flight_counts.items(), key=lambda one: -one[1])
    )
    quarantine = update.quarantine
    while True:
        data = _encode(update, counts, quarantine)
        omitted = len(update.in_flight_counts) - len(counts)
        excess = len(data) - MAX_DATAGRAM_BYTES
        if excess <= 0:
            return EncodedUpdate(data=data, omitted=omitted)
        if not counts:
            shortened = quarantine.shortened()
            if shortened is None:
                return EncodedUpdate(data=None, omitted=omitted)
            quarantine = shortened
        while counts and excess > 0:
            name, count = counts.popitem()
            excess -= len(orjson.dumps({name: count}))


def _encode(
    update: PeerUpdate,
    in_flight_counts: dict[str, int],
    quarantine: quarantine_report.Report,
) -> bytes:
    return orjson.dumps(
        [
            update.host,
            update.incarnation,
            update.sequence,
            in_flight_counts,
            update.plan_offset,
            update.token,
            update.slowdowns,
            update.zone,
            update.is_reader,
            {k: ages.encode(v) for k, v in update.recovery_ages.items()},
            {k: _encode_report(v) for k, v in update.rate_reports.items()},
            quarantine_report.encode(quarantine),
            None if update.uptime is None else ages.encode(update.uptime),
        ]
    )


def decode(data: bytes) -> PeerUpdate:
    """Decode a datagram; raises :class:`InvalidUpdate`."""
    try:
        return _decode(*orjson.loads(data))
    except (ValueError, TypeError, AttributeError, OverflowError) as exc:
        raise InvalidUpdate(str(exc)) from exc


def _decode(
    host: object,
    incarnation: object,
    sequence: int,
    in_flight_counts: dict[str, int],
    plan_offset: int,
    token: int,
    slowdowns: dict[str, float],
    zone: object,
    is_reader: object,
    recovery_ages: dict[str, int] | None = None,
    rate_reports: object = None,
    quarantine: object = None,
    uptime_ms: int | None = None,
    *_: object,
) -> PeerUpdate:
    reports = rate_reports if isinstance(rate_reports, dict) else {}
    return PeerUpdate(
        host=str(host),
        incarnation=str(incarnation),
        sequence=int(sequence),
        in_flight_counts={
            str(k): max(0, int(v)) for k, v in in_flight_counts.items()
        },
        plan_offset=int(plan_offset),
        token=int(token),
        slowdowns={str(k): max(1.0, float(v)) for k, v in slowdowns.items()},
        zone=str(zone),
        is_reader=bool(is_reader),
        recovery_ages={
            str(k): ages.decode(v) for k, v in (recovery_ages or {}).items()
        },
        rate_reports={str(k): _decode_report(*v) for k, v in reports.items()},
        uptime=None if uptime_ms is None else ages.decode(uptime_ms),
        quarantine=quarantine_report.decode(quarantine)
        if quarantine
        else quarantine_report.EMPTY,
    )


def _encode_report(report: rate_limits.Report) -> list[float | int | None]:
    age_ms = None if report.age is None else ages.encode(report.age)
    return [report.rate, age_ms, report.sent]


def _decode_report(
    rate: float | None, age_ms: int | None, sent: int, *_: object
) -> rate_limits.Report:
    return rate_limits.Report(
        rate=None if rate is None else max(0.0, float(rate)),
        age=None if age_ms is None else ages.decode(age_ms),
        sent=max(0, int(sent)),
    )
