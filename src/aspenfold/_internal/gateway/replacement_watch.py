"""Finds out whether another start has the place of an endpoint.

Signs of that differ in what they prove:

===========================  ==========================================
sign                         proves
===========================  ==========================================
a response of another name   that this start doesn't listen any more
a later start in the list    the same, of its own name; others may write
                             such an entry, too
an entry of another name     nothing: the address is asked who is there
at the address
a refusal that names nobody  nothing, likewise
===========================  ==========================================

Whatever is heard from a start after a sign speaks against it.  So a proven
end counts half a second later, for those requests only that were silent since
and were not sent after one that was heard.
"""

import asyncio
from collections import abc
import datetime
import enum
import typing

from aspenfold._internal.gateway import directory
from aspenfold._internal.gateway import endpoint_inquiry
from aspenfold._internal.gateway import endpoint_listing
from aspenfold._internal.gateway import start_ledger
from aspenfold._internal.kernel import clock as clock_module
from aspenfold._internal.observability import events

MAX_INQUIRIES = 16
"""Inquiries that run at once; more wait for these."""

MAX_WAITING_INQUIRIES = 256
"""Inquiries that run or wait; a dispute beyond them ends unanswered."""

Identity = endpoint_inquiry.Identity


class Sign(enum.Enum):
    """What speaks for the end of a start."""

    OTHER_RESPONDER = 'other responder'
    LATER_START = 'later start'
    ADDRESS = 'address'
    REFUSAL = 'refusal'


class Inquiry(typing.Protocol):
    """Asks an address which endpoint is there."""

    async def ask(self, listing: endpoint_listing.Listing) -> Identity:
        """Return the answer; wait only for a bounded time."""


class ReplacementWatch:
    """Turns signs that a start was replaced into its end, or drops them.

    ``on_ended`` gets the endpoint, the name of the start, and who was there.
    ``spawn`` runs a task in the background, unless the gateway ends.
    """

    def __init__(
        self,
        *,
        endpoint_directory: directory.Directory,
        ledger: start_ledger.StartLedger,
        inquiry: Inquiry,
        clock: clock_module.Clock,
        spawn: abc.Callable[[abc.Coroutine[None, None, None]], object],
        on_ended: abc.Callable[
            [directory.Endpoint, str, start_ledger.StartEnd], None
        ],
    ) -> None:
        self._directory = endpoint_directory
        self._ledger = ledger
        self._inquiry = inquiry
        self._clock = clock
        self._spawn = spawn
        self._on_ended = on_ended
        self._inquiries = asyncio.Semaphore(MAX_INQUIRIES)
        self._asked: set[tuple[str, str]] = set()
        self._ending: set[str] = set()

    def on_later_start(
        self, endpoint: directory.Endpoint, later: endpoint_listing.Listing
    ) -> None:
        """See :class:`directory.StartObserver`."""
        self._conclude(endpoint, Sign.LATER_START, later.incarnation)

    def on_address_conflict(
        self, endpoint: directory.Endpoint, claimant: directory.Endpoint
    ) -> None:
        """See :class:`directory.StartObserver`."""
        start = endpoint.listing.incarnation
        is_disputed = endpoint.name in claimant.disputed_by
        if is_disputed or self._ledger.count_begun(start):
            self._ask(endpoint, Sign.ADDRESS, claimant)

    def record_other_responder(self, endpoint: directory.Endpoint) -> None:
        """Record that another endpoint responded at an endpoint's address."""
        self._directory.record_replacement(endpoint)
        self._conclude(endpoint, Sign.OTHER_RESPONDER)

    def record_unnamed_refusal(self, endpoint: directory.Endpoint) -> None:
        """Record that whoever has the address refused, without its name."""
        self._ask(endpoint, Sign.REFUSAL)

    def _ask(
        self,
        endpoint: directory.Endpoint,
        sign: Sign,
        claimant: directory.Endpoint | None = None,
    ) -> None:
        asked = (
            endpoint.listing.incarnation,
            '' if claimant is None else claimant.name,
        )
        if asked in self._asked:
            return
        if len(self._asked) >= MAX_WAITING_INQUIRIES:
            self._end_dispute(endpoint, claimant)
            return
        self._asked.add(asked)
        self._spawn(self._inquire(endpoint, sign, claimant, asked))

    async def _inquire(
        self,
        endpoint: directory.Endpoint,
        sign: Sign,
        claimant: directory.Endpoint | None,
        asked: tuple[str, str],
    ) -> None:
        try:
            async with self._inquiries:
                identity = await self._inquiry.ask(endpoint.listing)
        finally:
            self._asked.discard(asked)
        events.emit(
            events.Event.ENDPOINT_CHECKED,
            endpoint=endpoint.name,
            result=identity.value,
            sign=sign.value,
            claimant='' if claimant is None else claimant.name,
        )
        if identity is Identity.SAME:
            return
        if identity is Identity.OTHER:
            self._directory.record_replacement(endpoint)
        elif identity is Identity.NOT_LISTENING:
            self._directory.record_unreachable(endpoint, self._clock.now())
        self._end_dispute(endpoint, claimant)
        if identity is not Identity.UNKNOWN:
            self._conclude(endpoint, sign)

    def _end_dispute(
        self, holder: directory.Endpoint, claimant: directory.Endpoint | None
    ) -> None:
        if claimant is not None:
            self._directory.end_dispute(claimant, holder.name)

    def _conclude(
        self, endpoint: directory.Endpoint, sign: Sign, successor: str = ''
    ) -> None:
        """End a start once nothing has spoken for it."""
        start, now = endpoint.listing.incarnation, self._clock.now()
        if start in self._ending:
            return
        if not self._ledger.count_begun(start):
            self._ledger.replace(start, successor or None, now)
            return
        self._ending.add(start)
        self._spawn(self._end(endpoint, start, sign, successor, now))

    async def _end(
        self,
        endpoint: directory.Endpoint,
        start: str,
        sign: Sign,
        successor: str,
        seen_at: datetime.datetime,
    ) -> None:
        try:
            await asyncio.sleep(start_ledger.MIN_SILENCE.total_seconds())
        finally:
            self._ending.discard(start)
        end = self._ledger.replace(start, successor or None, seen_at)
        running = [one for one in end.begun if one.stopped_at is None]
        events.emit(
            events.Event.ENDPOINT_REPLACED,
            endpoint=endpoint.name,
            sign=sign.value,
            successor=successor,
            withdrawn=len(running),
            stopped=len(end.begun) - len(running),
        )
        self._on_ended(endpoint, start, end)
        for one in running:
            one.withdraw()
