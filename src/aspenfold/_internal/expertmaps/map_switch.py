"""Switches all ranks of a group to a new map in the same pass.

Orders may be lost, or carried out seconds late.  What keeps a pass from
beginning with two maps:

* A round's orders carry a token higher than any before it.  A rank that
  has accepted one refuses all orders with a lower token, whenever they
  arrive.  A map's version is its round's token and is never used again,
  and each round arms for one pass only.
* All ranks accept the round's PREPARE before anything else is done.  A
  rank refuses it while it is armed.  So no rank is armed from then on
  but by this round.
* The pass is held, always on rank 0, before any rank is armed, and
  released only after every rank has accepted to be armed for it.
* A round that does not come to its end is undone in a held group: first
  all ranks accept an order with a higher token, so nothing of the round
  can still happen; then what is armed is disarmed; then the pass is
  released.
* A rank that crashes gives the group a new epoch in which nothing is
  prepared, armed or held.  All orders name their epoch.

The machine does no I/O: it takes answers, reports and the time, and
returns orders to send and reports to ask for.
"""

from collections import abc
import dataclasses
import datetime
import enum
import math

from aspenfold._internal.expertmaps import rank_protocol

HOLD_RANK = 0
"""The rank on which passes are held.  With one for all leaders, a hold
that was left behind shows on this rank, and keeps others from theirs."""

RESEND_INTERVAL = datetime.timedelta(milliseconds=100)
"""Wait before an order without an answer is sent again.  Answers take a
few milliseconds; an order that is carried out late stays harmless."""

REPORT_INTERVAL = datetime.timedelta(milliseconds=250)
"""Pace of reports while a round waits for copies or for its pass."""

FRESH_REPORT_INTERVAL = datetime.timedelta(milliseconds=40)
"""The same while reports are fresh, which are free: a round then waits
20 ms for the news on average, where it waited 300."""

MAX_FRESH_AGE = datetime.timedelta(milliseconds=60)
"""A report is fresh up to this age: under the time of a pass."""

COPY_TIMEOUT = datetime.timedelta(seconds=4)
"""A round whose copies take longer is undone: they take 0.2 s."""

ARM_TIMEOUT = datetime.timedelta(seconds=2)
"""A round that cannot arm all ranks for so long is undone."""

HOLD_LEAD_PASSES = 2
"""Passes that a hold must be ahead of the last one reported, beside
those that begin while reports lag and orders travel."""

MAX_HOLD_ATTEMPTS = 4
"""Passes that are tried one after the other; if none can be held, the
hold of another round stands in the way."""

HOLD_LEAD_TIME = datetime.timedelta(milliseconds=300)
"""Report lag, and the time that arming all ranks takes."""

FRESH_HOLD_LEAD_TIME = datetime.timedelta(milliseconds=30)
"""The same with a fresh report: an order's way to the rank."""


class State(enum.Enum):
    """Where the machine stands."""

    FENCE = 'freeze'
    """All ranks are made to refuse the orders of earlier rounds."""

    AWAIT_REPORTS = 'look'
    """Waits for reports that are later than the freeze."""

    DISARM = 'disarm'
    """The held group's armed ranks are disarmed."""

    RELEASE = 'release'
    """The held pass is released, nothing being armed."""

    READY = 'ready'
    """A new round may begin."""

    PREPARE = 'prepare'
    """Ranks take the new map."""

    AWAIT_COPIES = 'copy'
    """Waits until all ranks have copied what is new to them."""

    HOLD = 'hold'
    """The pass of the switch is held."""

    ARM = 'arm'
    """Ranks are armed for that pass."""

    RELEASE_ARMED = 'let-go'
    """All are armed: the pass is released."""

    AWAIT_PASS = 'pass'
    """Waits for the pass to begin."""

    LOST = 'lost'
    """The epoch has ended, or another leader's token is higher."""


_ROUND_STATES = frozenset(
    {
        State.PREPARE,
        State.AWAIT_COPIES,
        State.HOLD,
        State.ARM,
        State.RELEASE_ARMED,
    }
)
"""States of a round that can still be undone."""


_HOLDING_STATES = frozenset(
    {
        State.FENCE,
        State.AWAIT_REPORTS,
        State.DISARM,
        State.RELEASE,
        State.HOLD,
        State.ARM,
        State.RELEASE_ARMED,
    }
)
"""States in which a pass may be held: the group would stand still if
its leader ended here."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestReport:
    """Ask a rank for its report."""

    rank: int


Action = rank_protocol.Order | RequestReport


@dataclasses.dataclass(kw_only=True, slots=True)
class _Sent:
    order: rank_protocol.Order
    at: datetime.datetime


class MapSwitch:
    """The machine for one epoch of one group under one leader."""

    def __init__(
        self, *, group: str, epoch: int, size: int, first_token: int
    ) -> None:
        """Begin as ready, whatever earlier leaders left behind.

        A round meets it before it does harm: PREPARE is refused by
        armed ranks, HOLD where a pass is held.
        """
        self.group = group
        self.epoch = epoch
        self.size = size
        self.state = State.READY
        self.fenced = False
        self.rollbacks = 0
        self.version: int | None = None
        self.step = 0
        self.rate = 0.0
        self._token = first_token
        self._new_map: rank_protocol.Map = ()
        self._pass = 0
        self._hold_tries = 0
        self._waiting: dict[int, _Sent] = {}
        self._fresh: dict[int, rank_protocol.Report] = {}
        self._asked_at: datetime.datetime | None = None
        self._settled_at: datetime.datetime | None = None
        self._since: datetime.datetime | None = None
        self._stepped: tuple[int, datetime.datetime] | None = None
        # Whether the holder's last report was fresh.
        self._is_fresh = False

    # -- what the leader asks --------------------------------------------

    @property
    def is_ready(self) -> bool:
        """Whether a new round may begin."""
        return self.state is State.READY

    @property
    def may_hold_pass(self) -> bool:
        """Whether the group may stand until this machine goes on."""
        return self.state in _HOLDING_STATES

    @property
    def token(self) -> int:
        """The token of the current round."""
        return self._token

    def start_round(
        self, new_map: rank_protocol.Map, now: datetime.datetime
    ) -> list[Action]:
        """Begin a round that brings ``new_map`` to the group."""
        assert self.is_ready
        self._token += 1
        self._new_map = new_map
        self._enter(State.PREPARE, now)
        return self._send_all(
            rank_protocol.Op.PREPARE, now, version=self._token, new_map=new_map
        )

    def roll_back(self, now: datetime.datetime) -> list[Action]:
        """Undo whatever stands half done, also of earlier leaders."""
        if self.state in _ROUND_STATES:
            self.rollbacks += 1
        self._token += 1
        self._enter(State.FENCE, now)
        # No round has this version: the order changes nothing but the
        # rank's token.
        return self._send_all(
            rank_protocol.Op.DISARM, now, version=self._token
        )

    # -- events ----------------------------------------------------------

    def on_answer(
        self,
        order: rank_protocol.Order,
        answer: rank_protocol.Answer,
        now: datetime.datetime,
    ) -> list[Action]:
        """A rank answered an order, or did not."""
        sent = self._waiting.get(order.rank)
        if self.state is State.LOST or sent is None:
            return []
        if sent.order is not order:
            return []
        match answer:
            case rank_protocol.Answer.NONE:
                return []
            case rank_protocol.Answer.FENCED:
                self.fenced = True
                self._enter(State.LOST, now)
                return []
            case rank_protocol.Answer.REFUSED:
                return self._refused(order, now)
        del self._waiting[order.rank]
        if self._waiting:
            return []
        return self._all_accepted(now)

    def on_report(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> list[Action]:
        """A rank's report has come."""
        if self.state is State.LOST:
            return []
        if report.epoch != self.epoch or not report.open:
            self._enter(State.LOST, now)
            return []
        if report.rank == HOLD_RANK:
            self._note_step(report, now)
            self._is_fresh = report.age <= MAX_FRESH_AGE
        if self.state is State.AWAIT_REPORTS and not self._shows_answers(
            report, now
        ):
            return []
        self._fresh[report.rank] = report
        match self.state:
            case State.AWAIT_REPORTS:
                return self._looked(now)
            case State.AWAIT_COPIES:
                return self._copied(now)
            case State.AWAIT_PASS:
                return self._passed(report, now)
            case State.READY if report.held is not None:
                # A report from before the release shows the pass as held.
                if self._shows_answers(report, now):
                    return self.roll_back(now)
        return []

    def tick(self, now: datetime.datetime) -> list[Action]:
        """Send again, ask again, or undo a round that takes too long."""
        if self._overdue(now):
            return self.roll_back(now)
        if self.state in (
            State.AWAIT_REPORTS,
            State.AWAIT_COPIES,
            State.AWAIT_PASS,
        ):
            return self._ask(now)
        result: list[Action] = []
        for sent in self._waiting.values():
            if now - sent.at >= RESEND_INTERVAL:
                sent.at = now
                result.append(sent.order)
        return result

    # -- answers ---------------------------------------------------------

    def _all_accepted(self, now: datetime.datetime) -> list[Action]:
        match self.state:
            case State.FENCE:
                self._settled_at = now
                self._enter(State.AWAIT_REPORTS, now)
            case State.DISARM:
                return self._release(State.RELEASE, now)
            case State.RELEASE:
                self._settled_at = now
                self._enter(State.READY, now)
            case State.PREPARE:
                self._settled_at = now
                self._enter(State.AWAIT_COPIES, now)
            case State.HOLD:
                return self._arm(now)
            case State.ARM:
                return self._release(State.RELEASE_ARMED, now)
            case State.RELEASE_ARMED:
                self._settled_at = now
                self._enter(State.AWAIT_PASS, now)
        return []

    def _refused(
        self, order: rank_protocol.Order, now: datetime.datetime
    ) -> list[Action]:
        if self.state is State.FENCE:
            # Only in another epoch does this order not fit.
            self._enter(State.LOST, now)
            return []
        if self.state is State.HOLD and self._hold_tries < MAX_HOLD_ATTEMPTS:
            # The pass has begun: hold a later one.  Nothing is armed.
            self._pass += max(self._lead(), self._hold_tries)
            return self._hold(now)
        return self.roll_back(now)

    def _arm(self, now: datetime.datetime) -> list[Action]:
        self._enter(State.ARM, now)
        return self._send_all(
            rank_protocol.Op.ARM, now, version=self._token, step=self._pass
        )

    def _release(self, state: State, now: datetime.datetime) -> list[Action]:
        self._enter(state, now)
        return self._send(
            HOLD_RANK, rank_protocol.Op.RELEASE, now, step=self._pass
        )

    def _hold(self, now: datetime.datetime) -> list[Action]:
        self._hold_tries += 1
        self._enter(State.HOLD, now)
        return self._send(
            HOLD_RANK, rank_protocol.Op.HOLD, now, step=self._pass
        )

    # -- reports ---------------------------------------------------------

    def _looked(self, now: datetime.datetime) -> list[Action]:
        """All ranks refuse earlier orders: their state stands still."""
        if self._asked_at is None:
            # Asked for before the freeze.
            self._fresh.clear()
        if len(self._fresh) < self.size:
            return []
        held = self._fresh[HOLD_RANK].held
        armed = [r for r in self._fresh.values() if r.armed is not None]
        if held is None:
            # A pass was released, so all ranks were armed for it, if any
            # was: it passes by itself.
            if armed:
                self._fresh.clear()
                return []
            self.version = self._fresh[HOLD_RANK].version
            self._enter(State.READY, now)
            return []
        self._pass = held
        if not armed:
            return self._release(State.RELEASE, now)
        self._enter(State.DISARM, now)
        result: list[Action] = []
        for report in armed:
            assert report.armed is not None
            result += self._send(
                report.rank,
                rank_protocol.Op.DISARM,
                now,
                version=report.armed.version,
            )
        return result

    def _copied(self, now: datetime.datetime) -> list[Action]:
        if len(self._fresh) < self.size:
            return []
        if any(r.prepared != self._token for r in self._fresh.values()):
            return []
        # Never a pass that was held before: a late RELEASE names it.
        self._pass = max(self._pass + 1, self.step + self._lead())
        self._hold_tries = 0
        return self._hold(now)

    def _lead(self) -> int:
        """Return how many passes ahead of the last reported to hold.

        A hold that comes too late is refused and tried for a later pass.
        """
        if self._is_fresh:
            return 1 + int(self.rate * FRESH_HOLD_LEAD_TIME.total_seconds())
        return self._lagging_lead()

    def _lagging_lead(self) -> int:
        lead = math.ceil(self.rate * HOLD_LEAD_TIME.total_seconds())
        return lead + HOLD_LEAD_PASSES

    def _passed(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> list[Action]:
        if report.rank != HOLD_RANK:
            return []
        if report.version == self._token:
            self.version = self._token
            self._enter(State.READY, now)
            return []
        if report.held is not None and self._shows_answers(report, now):
            # An order to hold that had no answer was carried out late.
            return self._release(State.RELEASE_ARMED, now)
        if report.step > self._pass + self._lagging_lead():
            # Should never be: the pass was begun with another map.
            return self.roll_back(now)
        return []

    def _shows_answers(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> bool:
        """Whether a report shows what the last answers brought about."""
        settled = self._settled_at
        return settled is None or now - report.age >= settled

    def _too_early(self, now: datetime.datetime) -> bool:
        """Whether lagging reports cannot show the last answers yet."""
        if self._is_fresh or self._settled_at is None:
            return False
        return now - self._settled_at < rank_protocol.MAX_REPORT_AGE

    def _note_step(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> None:
        """Keep the last pass and the rate of passes."""
        self.step = max(self.step, report.step)
        if self._stepped is not None:
            step, at = self._stepped
            span = (now - at).total_seconds()
            if span < 0.1:
                return
            rate = max(0, report.step - step) / span
            self.rate = max(rate, self.rate * 0.5)
        self._stepped = (report.step, now)

    # -- sending ---------------------------------------------------------

    def _enter(self, state: State, now: datetime.datetime) -> None:
        self.state = state
        self._since = now
        self._waiting.clear()
        self._fresh.clear()
        self._asked_at = None

    def _overdue(self, now: datetime.datetime) -> bool:
        since = self._since
        if since is None:
            return False
        if self.state in (State.PREPARE, State.AWAIT_COPIES):
            return now - since > COPY_TIMEOUT
        if self.state in (State.HOLD, State.ARM):
            return now - since > ARM_TIMEOUT
        return False

    def _ask(self, now: datetime.datetime) -> list[Action]:
        """Ask for reports, each time for all that are still needed."""
        if self.state is State.AWAIT_REPORTS and self._too_early(now):
            return []
        interval = FRESH_REPORT_INTERVAL if self._is_fresh else REPORT_INTERVAL
        asked = self._asked_at
        if asked is not None and now - asked < interval:
            return []
        self._asked_at = now
        if self.state is State.AWAIT_PASS:
            return [RequestReport(rank=HOLD_RANK)]
        done: abc.Container[int] = ()
        if self.state is State.AWAIT_COPIES:
            done = {
                r.rank
                for r in self._fresh.values()
                if r.prepared == self._token and r.rank != HOLD_RANK
            }
        return [
            RequestReport(rank=r) for r in range(self.size) if r not in done
        ]

    def _send_all(
        self,
        op: rank_protocol.Op,
        now: datetime.datetime,
        *,
        version: int = 0,
        step: int = 0,
        new_map: rank_protocol.Map = (),
    ) -> list[Action]:
        result: list[Action] = []
        for rank in range(self.size):
            result += self._send(
                rank, op, now, version=version, step=step, new_map=new_map
            )
        return result

    def _send(
        self,
        rank: int,
        op: rank_protocol.Op,
        now: datetime.datetime,
        *,
        version: int = 0,
        step: int = 0,
        new_map: rank_protocol.Map = (),
    ) -> list[Action]:
        order = rank_protocol.Order(
            rank=rank,
            op=op,
            epoch=self.epoch,
            token=self._token,
            version=version,
            step=step,
            new_map=new_map,
        )
        self._waiting[rank] = _Sent(order=order, at=now)
        return [order]
