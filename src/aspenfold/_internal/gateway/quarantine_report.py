"""What gateways tell each other about crashes of endpoints."""

from collections import abc
import dataclasses
import datetime
import typing

from aspenfold._internal.gateway import ages
from aspenfold._internal.gateway import fingerprints

Fingerprint = fingerprints.Fingerprint

MAX_FINGERPRINT_CHARS = 16

MAX_INCARNATION_CHARS = 80


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashReport:
    """A crash that a gateway knows of, whoever saw it."""

    incarnation: str
    age: datetime.timedelta
    suspects: tuple[Fingerprint, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HoldReport:
    """A quarantine that a gateway knows of.

    ``seen_age`` is how long ago a request came that it kept back; ``crashes``
    is how many endpoints had ended, ``trials`` how many requests were sent
    since.
    """

    age: datetime.timedelta
    seen_age: datetime.timedelta
    crashes: int
    trials: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What one gateway tells its peers.

    ``crashes`` begin with the most telling one.  ``answer_ages`` is how long
    ago suspects were last answered.  ``outlived`` is how many endpoints have
    outlived whole requests of the gateway that are suspects of several
    crashes, or have them now.
    """

    crashes: tuple[CrashReport, ...] = ()
    answer_ages: abc.Mapping[Fingerprint, datetime.timedelta] = (
        dataclasses.field(default_factory=dict)
    )
    holds: abc.Mapping[Fingerprint, HoldReport] = dataclasses.field(
        default_factory=dict
    )
    outlived: abc.Mapping[Fingerprint, int] = dataclasses.field(
        default_factory=dict
    )

    def key(self) -> tuple[object, ...]:
        """Return the content without what changes all the time."""
        return (
            [(c.incarnation, c.suspects) for c in self.crashes],
            sorted(self.answer_ages),
            sorted((k, v.trials) for k, v in self.holds.items()),
            sorted(self.outlived),
        )

    def shortened(self) -> 'Report | None':
        """Return the report with less content, None if that is all gone.

        What is in quarantine goes last, the least telling crash first.
        """
        if self.crashes:
            return dataclasses.replace(self, crashes=self.crashes[:-1])
        if self.answer_ages or self.outlived:
            return dataclasses.replace(self, answer_ages={}, outlived={})
        if self.holds:
            return Report()
        return None


EMPTY = Report()


def encode(report: Report) -> list[object]:
    """Return a report as values of JSON."""
    return [
        [
            [c.incarnation, ages.encode(c.age), *c.suspects]
            for c in report.crashes
        ],
        {k: ages.encode(v) for k, v in report.answer_ages.items()},
        {
            k: [
                ages.encode(v.age),
                ages.encode(v.seen_age),
                v.crashes,
                v.trials,
            ]
            for k, v in report.holds.items()
        },
        dict(report.outlived),
    ]


def decode(value: typing.Any) -> Report:
    """Return a report from its values.

    Raises ValueError, TypeError or AttributeError if they are invalid.
    """
    crashes, answer_ages, holds, *rest = value
    outlived = rest[0] if rest else {}
    return Report(
        crashes=tuple(_decode_crash(*crash) for crash in crashes),
        answer_ages={
            _decode_fingerprint(k): ages.decode(v)
            for k, v in answer_ages.items()
        },
        holds={
            _decode_fingerprint(k): _decode_hold(*v) for k, v in holds.items()
        },
        outlived={
            _decode_fingerprint(k): max(0, int(v)) for k, v in outlived.items()
        },
    )


def _decode_crash(
    incarnation: object, age_ms: int, *suspects: object
) -> CrashReport:
    return CrashReport(
        incarnation=str(incarnation)[:MAX_INCARNATION_CHARS],
        age=ages.decode(age_ms),
        suspects=tuple(_decode_fingerprint(s) for s in suspects),
    )


def _decode_hold(
    age_ms: int, seen_age_ms: int, crashes: int, trials: int, *_: object
) -> HoldReport:
    return HoldReport(
        age=ages.decode(age_ms),
        seen_age=ages.decode(seen_age_ms),
        crashes=max(0, int(crashes)),
        trials=max(0, int(trials)),
    )


def _decode_fingerprint(value: object) -> Fingerprint:
    return Fingerprint(str(value)[:MAX_FINGERPRINT_CHARS])
