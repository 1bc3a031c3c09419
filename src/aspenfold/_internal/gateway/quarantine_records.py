"""Quarantines and evidence of crashes in the platform's store.

Peer updates are quicker, but end with the last gateway, and may not pass where
the store can be reached.  So a quarantine is written to the store, by one of
the gateways that know it, and so are the crashes that a gateway sees while it
doesn't hear all others.  Records are written seldom, into the topic that all
gateways read anyway.

Times in records are Unix times; those of a host whose clock is wrong are taken
for now.
"""

import asyncio
from collections import abc
import datetime
import typing

import pydantic

from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import hold as hold_module
from aspenfold._internal.gateway import ports
from aspenfold._internal.gateway import quarantine as quarantine_module
from aspenfold._internal.gateway import quarantine_report
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

Fingerprint = fingerprints.Fingerprint

KEY_PREFIX = 'quarantine/'
HOLD_PREFIX = f'{KEY_PREFIX}hold/'
CRASH_PREFIX = f'{KEY_PREFIX}crash/'

CRASH_SLOTS = quarantine_module.MAX_OWN_CRASHES
"""Crashes that one gateway keeps in the store, the latest ones."""

POLL_INTERVAL_S = 0.2
"""How often to look for records to write, in seconds."""

RETRY_DELAY_S = 2.0
"""Delay after a failed write, in seconds."""

TURN_DURATION = datetime.timedelta(milliseconds=600)
"""Time for one gateway to write a quarantine before the next one does."""

REFRESH_INTERVAL = datetime.timedelta(minutes=20)
"""How often to write when the last request of a quarantine came."""


MAX_UNIX_MS = 253_402_300_799_000
"""The end of the year 9999, the last that times can have."""

UnixMs = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_UNIX_MS)]


class HoldRecord(pydantic.BaseModel):
    """A quarantine, or its release by an operator; Unix milliseconds."""

    model_config = pydantic.ConfigDict(frozen=True)

    begun_ms: UnixMs = 0
    seen_ms: UnixMs = 0
    crashes: int = 0
    trials: int = 0
    released_ms: UnixMs | None = None


class CrashRecord(pydantic.BaseModel):
    """The crash of an endpoint, with its suspects."""

    model_config = pydantic.ConfigDict(frozen=True)

    incarnation: str
    at_ms: UnixMs
    suspects: tuple[str, ...]


class QuarantineRecords:
    """Reads and writes what gateways know of crashes."""

    key_prefix = KEY_PREFIX

    def __init__(
        self,
        *,
        host: str,
        quarantine: quarantine_module.Quarantine,
        clock: clock_module.Clock,
        wall_clock: clock_module.Clock,
        hears_all_peers: abc.Callable[[], bool],
    ) -> None:
        """``host`` is this gateway's.

        ``hears_all_peers`` returns whether all other gateways are heard.
        """
        self._host = host
        self._quarantine = quarantine
        self._clock = clock
        self._wall_clock = wall_clock
        self._hears_all_peers = hears_all_peers
        self._stored: dict[str, bytes] = {}
        self._holds: dict[str, HoldRecord] = {}
        self._crashes: dict[str, CrashRecord] = {}
        self._crash_slots: dict[str, int] = {}

    def snapshot(self) -> tuple[ports.Record, ...]:
        """Return the records, for a new follower."""
        return tuple(
            ports.Record(offset=0, key=key, value=value)
            for key, value in self._stored.items()
        )

    def apply(self, record: ports.Record) -> None:
        """Apply a record whose key has the prefix."""
        try:
            self._keep(record.key, record.value or b'')
        except ValueError as exc:
            events.emit(
                events.Event.RECORD_REJECTED,
                offset=record.offset,
                error=str(exc)[:200],
            )
            return
        hold = self._holds.get(record.key)
        if hold is not None:
            self._apply_hold(_fingerprint_of(record.key), hold)
        crash = self._crashes.get(record.key)
        if crash is not None:
            self._apply_crash(crash)

    def _keep(self, key: str, value: bytes) -> None:
        """Keep a record; raises ValueError if it can't be read.

        Its bytes are kept in any case, for followers.
        """
        self._holds.pop(key, None)
        self._crashes.pop(key, None)
        if not value:
            self._stored.pop(key, None)
            return
        self._stored[key] = value
        if key.startswith(HOLD_PREFIX):
            self._holds[key] = HoldRecord.model_validate_json(value)
        elif key.startswith(CRASH_PREFIX):
            self._crashes[key] = CrashRecord.model_validate_json(value)

    def _apply_hold(
        self, fingerprint: Fingerprint, record: HoldRecord
    ) -> None:
        now = self._clock.now()
        if record.released_ms is not None:
            released_at = now - self._age(record.released_ms)
            self._quarantine.release(fingerprint, released_at)
            return
        hold = quarantine_report.HoldReport(
            age=self._age(record.begun_ms),
            seen_age=self._age(record.seen_ms),
            crashes=record.crashes,
            trials=record.trials,
        )
        report = quarantine_report.Report(holds={fingerprint: hold})
        self._quarantine.receive('the store', report, now)

    def _apply_crash(self, record: CrashRecord) -> None:
        crash = quarantine_report.CrashReport(
            incarnation=record.incarnation,
            age=self._age(record.at_ms),
            suspects=tuple(Fingerprint(s) for s in record.suspects),
        )
        report = quarantine_report.Report(crashes=(crash,))
        self._quarantine.receive('the store', report, self._clock.now())

    def _age(self, unix_ms: int) -> datetime.timedelta:
        now_ms = clock_module.to_unix_ms(self._wall_clock.now())
        return max(0, now_ms - unix_ms) * clock_module.MILLISECOND

    def _unix_ms(self, at: datetime.datetime) -> int:
        wall = self._wall_clock.now() - (self._clock.now() - at)
        return clock_module.to_unix_ms(wall)

    async def run(
        self, put: abc.Callable[[str, bytes], abc.Awaitable[object]]
    ) -> None:
        """Write records with ``put`` when they are due, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                for key, value in self.due():
                    await put(key, value)
                    self._keep(key, value)
            except ports.StoreUnavailable as exc:
                events.emit(
                    events.Event.QUARANTINE_NOT_STORED, error=str(exc)[:200]
                )
                await asyncio.sleep(RETRY_DELAY_S)

    def due(self) -> list[tuple[str, bytes]]:
        """Return the records to write now; no value removes a key."""
        found = [*self._due_holds(), *self._due_removals()]
        if not self._hears_all_peers():
            found += self._due_crashes()
        return found

    def _due_holds(self) -> abc.Iterator[tuple[str, bytes]]:
        now = self._clock.now()
        for hold in self._quarantine.holds():
            key = f'{HOLD_PREFIX}{hold.fingerprint}'
            if now - hold.begun_at < self._turn(hold.fingerprint):
                continue
            seen_ms = self._unix_ms(hold.seen_at)
            stored = self._holds.get(key)
            if stored is not None and not self._is_outdated(
                stored, hold, seen_ms
            ):
                continue
            record = HoldRecord(
                begun_ms=self._unix_ms(hold.begun_at),
                seen_ms=seen_ms,
                crashes=hold.crashes,
                trials=hold.trials,
            )
            yield key, record.model_dump_json(exclude_none=True).encode()

    def _is_outdated(
        self, stored: HoldRecord, hold: hold_module.Hold, seen_ms: int
    ) -> bool:
        if stored.released_ms is not None or stored.trials < hold.trials:
            return True
        unseen = (seen_ms - stored.seen_ms) * clock_module.MILLISECOND
        return unseen >= REFRESH_INTERVAL + self._turn(hold.fingerprint)

    def _turn(self, fingerprint: Fingerprint) -> datetime.timedelta:
        """Return when it is this gateway's turn to write of a fingerprint."""
        return self._quarantine.turn(fingerprint) * TURN_DURATION

    def _due_removals(self) -> abc.Iterator[tuple[str, bytes]]:
        """Yield the keys of records that matter no more."""
        idle_ms = hold_module.IDLE_DURATION // clock_module.MILLISECOND
        now_ms = clock_module.to_unix_ms(self._wall_clock.now())
        for key, record in self._holds.items():
            last_ms = max(record.seen_ms, record.released_ms or 0)
            turn = self._turn(_fingerprint_of(key))
            turn_ms = turn // clock_module.MILLISECOND
            if now_ms - last_ms > 2 * idle_ms + turn_ms:
                yield key, b''

    def _due_crashes(self) -> abc.Iterator[tuple[str, bytes]]:
        for crash in self._quarantine.own_crashes():
            suspects = self._quarantine.unanswered(crash)
            if not suspects:
                continue
            key = f'{CRASH_PREFIX}{self._host}/{self._slot(crash.incarnation)}'
            record = CrashRecord(
                incarnation=crash.incarnation,
                at_ms=self._unix_ms(crash.at),
                suspects=tuple(suspects),
            )
            if not self._is_stored(key, record):
                yield key, record.model_dump_json().encode()

    def _slot(self, incarnation: str) -> int:
        """Return the slot of a crash, that of the oldest one for a new one."""
        slot = self._crash_slots.get(incarnation)
        if slot is not None:
            return slot
        slot = len(self._crash_slots)
        if slot == CRASH_SLOTS:
            slot = self._crash_slots.pop(next(iter(self._crash_slots)))
        self._crash_slots[incarnation] = slot
        return slot

    def _is_stored(self, key: str, record: CrashRecord) -> bool:
        """Return whether a record has at least the suspects of ``record``."""
        stored = self._crashes.get(key)
        if stored is None or stored.incarnation != record.incarnation:
            return False
        return set(record.suspects) <= set(stored.suspects)


def _fingerprint_of(key: str) -> Fingerprint:
    """Return the fingerprint whose quarantine is under a key."""
    return Fingerprint(key.removeprefix(HOLD_PREFIX))


def parse_holds(page: ports.Page) -> dict[Fingerprint, HoldRecord]:
    """Return the quarantines in a page of the topic, released ones too."""
    found = {}
    for record in page.records:
        if not record.value or not record.key.startswith(HOLD_PREFIX):
            continue
        name = _fingerprint_of(record.key)
        try:
            found[name] = HoldRecord.model_validate_json(record.value)
        except ValueError:
            # Gateways log such a record, and use it as little.
            continue
    return found
