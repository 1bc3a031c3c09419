"""State machine that switches all ranks of a group to a new expert map.

All ranks must use the new map from the same pass on, although orders may
be lost or carried out seconds late.  One change of map is a round:

* Each round has a fencing token that is higher than all earlier ones.  A
  rank that has accepted an order refuses all orders with a lower token.
  The token is also the version of the round's map, so versions are never
  reused.  Each round arms the ranks for one pass only.
* Every rank must accept PREPARE before the round continues.  An armed
  rank refuses PREPARE, so afterwards only this round can arm a rank.
* The pass is held on rank 0 before any rank is armed.  It is released
  only after every rank has accepted ARM for it.
* A round that fails is rolled back while the pass is held: every rank
  accepts an order with a higher token, so that no order of the failed
  round can take effect; armed ranks are disarmed; the pass is released.
* If a rank crashes, the group starts a new epoch in which nothing is
  prepared, armed or held.  Each order names the epoch that it is for.

The state machine does no I/O.  Its methods take answers, reports and the
current time, and return the orders to send and the reports to request.
"""

from collections import abc
import dataclasses
import datetime
import enum
import math

from aspenfold._internal.expertmaps import rank_protocol

HOLD_RANK = 0
"""Rank on which passes are held.  All leaders use the same one, so a hold
left by an earlier leader is visible here and prevents a second hold."""

RESEND_INTERVAL = datetime.timedelta(milliseconds=100)
"""Time after which an unanswered order is sent again.  Answers take a few
milliseconds; an order that is carried out late does no harm."""

REPORT_INTERVAL = datetime.timedelta(milliseconds=250)
"""Time between requests for reports while a round waits for them."""

FRESH_REPORT_INTERVAL = datetime.timedelta(milliseconds=40)
"""As REPORT_INTERVAL, while reports are fresh: these are cheap to get."""

MAX_FRESH_AGE = datetime.timedelta(milliseconds=60)
"""Age up to which a report counts as fresh; less than one pass takes."""

COPY_TIMEOUT = datetime.timedelta(seconds=4)
"""Time after which a round is rolled back if copies are incomplete."""

ARM_TIMEOUT = datetime.timedelta(seconds=2)
"""Time after which a round is rolled back if a rank is not armed."""

HOLD_LEAD_PASSES = 2
"""Extra passes between the last reported pass and the one to hold, where
reports are not fresh."""

MAX_HOLD_ATTEMPTS = 4
"""Passes that a round tries to hold before it is rolled back.  If none can
be held, another round probably holds a pass."""

HOLD_LEAD_TIME = datetime.timedelta(milliseconds=300)
"""Age of a report that is not fresh, plus the time to arm all ranks."""

FRESH_HOLD_LEAD_TIME = datetime.timedelta(milliseconds=30)
"""As HOLD_LEAD_TIME, with a fresh report."""


class State(enum.Enum):
    """State of a :class:`MapSwitch`."""

    FENCE = 'freeze'
    """Roll back: wait until all ranks refuse orders of earlier rounds."""

    AWAIT_REPORTS = 'look'
    """Roll back: wait for reports from after FENCE."""

    DISARM = 'disarm'
    """Roll back: wait until the armed ranks are disarmed."""

    RELEASE = 'release'
    """Roll back: wait until the held pass is released, no rank armed."""

    READY = 'ready'
    """No round is in progress; a new one may start."""

    PREPARE = 'prepare'
    """Wait until all ranks have accepted the new map."""

    AWAIT_COPIES = 'copy'
    """Wait until all ranks have copied the experts that are new to them."""

    HOLD = 'hold'
    """Wait until the pass that will use the new map is held."""

    ARM = 'arm'
    """Wait until all ranks are armed for that pass."""

    RELEASE_ARMED = 'let-go'
    """All ranks are armed: wait until the pass is released."""

    AWAIT_PASS = 'pass'
    """Wait until the pass has begun with the new map."""

    LOST = 'lost'
    """Final: the epoch has ended or another leader's token is higher."""


_ROUND_STATES = frozenset(
    {
        State.PREPARE,
        State.AWAIT_COPIES,
        State.HOLD,
        State.ARM,
        State.RELEASE_ARMED,
    }
)
"""States of a round whose pass is not known to be released yet; a rollback
from one of them counts in ``rollbacks``."""


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
"""States in which a pass may be held.  If the leader stopped in one of
them, the group would be unavailable."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestReport:
    """Request a report from a rank."""

    rank: int


Action = rank_protocol.Order | RequestReport


@dataclasses.dataclass(kw_only=True, slots=True)
class _SentOrder:
    order: rank_protocol.Order
    at: datetime.datetime


class MapSwitch:
    """Switches the maps of one group in one epoch under one leader.

    ``version`` is the map in use, None until known; ``step`` the last pass
    that was reported as begun, and ``pass_rate`` the passes per second.
    ``rollbacks`` counts the rounds that were rolled back before their pass
    was released.  ``fenced`` is set once a rank has refused an order for
    its token.
    """

    def __init__(
        self, *, group: str, epoch: int, size: int, first_token: int
    ) -> None:
        """Start in the READY state.

        Armed ranks or a held pass of an earlier leader do no harm: armed
        ranks refuse PREPARE, and rank 0 refuses a second HOLD.
        ``first_token`` is below the token of the first round.
        """
        self.group = group
        self.epoch = epoch
        self.size = size
        self.state = State.READY
        self.fenced = False
        self.rollbacks = 0
        self.version: int | None = None
        self.step = 0
        self.pass_rate = 0.0
        self._token = first_token
        self._new_map: rank_protocol.Map = ()
        self._switch_pass = 0
        self._hold_attempts = 0
        self._unanswered: dict[int, _SentOrder] = {}
        self._reports: dict[int, rank_protocol.Report] = {}
        self._requested_at: datetime.datetime | None = None
        self._answered_at: datetime.datetime | None = None
        self._entered_at: datetime.datetime | None = None
        self._last_step_at: tuple[int, datetime.datetime] | None = None
        # Whether the last report of HOLD_RANK was fresh.
        self._hold_rank_is_fresh = False

    @property
    def is_ready(self) -> bool:
        """Whether a new round may start."""
        return self.state is State.READY

    @property
    def may_hold_pass(self) -> bool:
        """Whether a pass may be held until this round continues."""
        return self.state in _HOLDING_STATES

    @property
    def token(self) -> int:
        """Fencing token of the current or last round."""
        return self._token

    def start_round(
        self, new_map: rank_protocol.Map, now: datetime.datetime
    ) -> list[Action]:
        """Start a round that switches the group to ``new_map``."""
        assert self.is_ready
        self._token += 1
        self._new_map = new_map
        self._enter(State.PREPARE, now)
        return self._send_all(
            rank_protocol.Op.PREPARE, now, version=self._token, new_map=new_map
        )

    def roll_back(self, now: datetime.datetime) -> list[Action]:
        """Roll back an unfinished round, of this or an earlier leader."""
        if self.state in _ROUND_STATES:
            self.rollbacks += 1
        self._token += 1
        self._enter(State.FENCE, now)
        # No map has this version, so the order only raises the rank's
        # token.
        return self._send_all(
            rank_protocol.Op.DISARM, now, version=self._token
        )

    def on_answer(
        self,
        order: rank_protocol.Order,
        answer: rank_protocol.Answer,
        now: datetime.datetime,
    ) -> list[Action]:
        """Handle a rank's answer to an order, or that none came."""
        sent = self._unanswered.get(order.rank)
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
                return self._on_refused(order, now)
        del self._unanswered[order.rank]
        if self._unanswered:
            return []
        return self._on_all_accepted(now)

    def on_report(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> list[Action]:
        """Handle a rank's report."""
        if self.state is State.LOST:
            return []
        if report.epoch != self.epoch or not report.open:
            self._enter(State.LOST, now)
            return []
        if report.rank == HOLD_RANK:
            self._update_step(report, now)
            self._hold_rank_is_fresh = report.age <= MAX_FRESH_AGE
        if (
            self.state is State.AWAIT_REPORTS
            and not self._is_after_last_answers(report, now)
        ):
            return []
        self._reports[report.rank] = report
        match self.state:
            case State.AWAIT_REPORTS:
                return self._on_rollback_reports(now)
            case State.AWAIT_COPIES:
                return self._on_copy_reports(now)
            case State.AWAIT_PASS:
                return self._on_pass_report(report, now)
            case State.READY if report.held is not None:
                # A report from before the release still shows the hold.
                if self._is_after_last_answers(report, now):
                    return self.roll_back(now)
        return []

    def tick(self, now: datetime.datetime) -> list[Action]:
        """Repeat orders and requests; roll back a round after a timeout."""
        if self._is_timed_out(now):
            return self.roll_back(now)
        if self.state in (
            State.AWAIT_REPORTS,
            State.AWAIT_COPIES,
            State.AWAIT_PASS,
        ):
            return self._request_reports(now)
        result: list[Action] = []
        for sent in self._unanswered.values():
            if now - sent.at >= RESEND_INTERVAL:
                sent.at = now
                result.append(sent.order)
        return result

    def _on_all_accepted(self, now: datetime.datetime) -> list[Action]:
        match self.state:
            case State.FENCE:
                self._answered_at = now
                self._enter(State.AWAIT_REPORTS, now)
            case State.DISARM:
                return self._release(State.RELEASE, now)
            case State.RELEASE:
                self._answered_at = now
                self._enter(State.READY, now)
            case State.PREPARE:
                self._answered_at = now
                self._enter(State.AWAIT_COPIES, now)
            case State.HOLD:
                return self._arm(now)
            case State.ARM:
                return self._release(State.RELEASE_ARMED, now)
            case State.RELEASE_ARMED:
                self._answered_at = now
                self._enter(State.AWAIT_PASS, now)
        return []

    def _on_refused(
        self, order: rank_protocol.Order, now: datetime.datetime
    ) -> list[Action]:
        if self.state is State.FENCE:
            # Ranks refuse this order only in another epoch.
            self._enter(State.LOST, now)
            return []
        if (
            self.state is State.HOLD
            and self._hold_attempts < MAX_HOLD_ATTEMPTS
        ):
            # The pass has begun; hold a later one.  No rank is armed yet.
            self._switch_pass += max(self._hold_lead(), self._hold_attempts)
            return self._hold(now)
        return self.roll_back(now)

    def _arm(self, now: datetime.datetime) -> list[Action]:
        self._enter(State.ARM, now)
        return self._send_all(
            rank_protocol.Op.ARM,
            now,
            version=self._token,
            step=self._switch_pass,
        )

    def _release(self, state: State, now: datetime.datetime) -> list[Action]:
        self._enter(state, now)
        return self._send(
            HOLD_RANK, rank_protocol.Op.RELEASE, now, step=self._switch_pass
        )

    def _hold(self, now: datetime.datetime) -> list[Action]:
        self._hold_attempts += 1
        self._enter(State.HOLD, now)
        return self._send(
            HOLD_RANK, rank_protocol.Op.HOLD, now, step=self._switch_pass
        )

    def _on_rollback_reports(self, now: datetime.datetime) -> list[Action]:
        """Continue the rollback once all ranks have reported.

        All ranks refuse earlier orders, so their state cannot change.
        """
        if self._requested_at is None:
            # These reports were requested before the rollback.
            self._reports.clear()
        if len(self._reports) < self.size:
            return []
        held = self._reports[HOLD_RANK].held
        armed = [r for r in self._reports.values() if r.armed is not None]
        if held is None:
            # The pass was released, so all ranks were armed for it; wait
            # until it has begun.
            if armed:
                self._reports.clear()
                return []
            self.version = self._reports[HOLD_RANK].version
            self._enter(State.READY, now)
            return []
        self._switch_pass = held
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

    def _on_copy_reports(self, now: datetime.datetime) -> list[Action]:
        if len(self._reports) < self.size:
            return []
        if any(r.prepared != self._token for r in self._reports.values()):
            return []
        # Not a pass that was held before: a late RELEASE might release it.
        self._switch_pass = max(
            self._switch_pass + 1, self.step + self._hold_lead()
        )
        self._hold_attempts = 0
        return self._hold(now)

    def _hold_lead(self) -> int:
        """Return how many passes after the last reported one to hold.

        A hold that arrives too late is refused and tried for a later pass.
        """
        if self._hold_rank_is_fresh:
            return 1 + int(
                self.pass_rate * FRESH_HOLD_LEAD_TIME.total_seconds()
            )
        return self._lagging_hold_lead()

    def _lagging_hold_lead(self) -> int:
        lead = math.ceil(self.pass_rate * HOLD_LEAD_TIME.total_seconds())
        return lead + HOLD_LEAD_PASSES

    def _on_pass_report(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> list[Action]:
        if report.rank != HOLD_RANK:
            return []
        if report.version == self._token:
            self.version = self._token
            self._enter(State.READY, now)
            return []
        if report.held is not None and self._is_after_last_answers(
            report, now
        ):
            # An unanswered HOLD was carried out late.
            return self._release(State.RELEASE_ARMED, now)
        if report.step > self._switch_pass + self._lagging_hold_lead():
            # Unexpected: the pass has begun without the new map.
            return self.roll_back(now)
        return []

    def _is_after_last_answers(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> bool:
        """Return whether a report is newer than the last answers."""
        answered_at = self._answered_at
        return answered_at is None or now - report.age >= answered_at

    def _reports_may_lag(self, now: datetime.datetime) -> bool:
        """Return whether reports may still be older than the last answers.

        Fresh reports never are.
        """
        if self._hold_rank_is_fresh or self._answered_at is None:
            return False
        return now - self._answered_at < rank_protocol.MAX_REPORT_AGE

    def _update_step(
        self, report: rank_protocol.Report, now: datetime.datetime
    ) -> None:
        """Update the last pass and the rate of passes."""
        self.step = max(self.step, report.step)
        if self._last_step_at is not None:
            step, at = self._last_step_at
            span = (now - at).total_seconds()
            if span < 0.1:
                return
            pass_rate = max(0, report.step - step) / span
            self.pass_rate = max(pass_rate, self.pass_rate * 0.5)
        self._last_step_at = (report.step, now)

    def _enter(self, state: State, now: datetime.datetime) -> None:
        self.state = state
        self._entered_at = now
        self._unanswered.clear()
        self._reports.clear()
        self._requested_at = None

    def _is_timed_out(self, now: datetime.datetime) -> bool:
        entered_at = self._entered_at
        if entered_at is None:
            return False
        if self.state in (State.PREPARE, State.AWAIT_COPIES):
            return now - entered_at > COPY_TIMEOUT
        if self.state in (State.HOLD, State.ARM):
            return now - entered_at > ARM_TIMEOUT
        return False

    def _request_reports(self, now: datetime.datetime) -> list[Action]:
        """Request all reports that are still needed, once an interval."""
        if self.state is State.AWAIT_REPORTS and self._reports_may_lag(now):
            return []
        interval = (
            FRESH_REPORT_INTERVAL
            if self._hold_rank_is_fresh
            else REPORT_INTERVAL
        )
        requested_at = self._requested_at
        if requested_at is not None and now - requested_at < interval:
            return []
        self._requested_at = now
        if self.state is State.AWAIT_PASS:
            return [RequestReport(rank=HOLD_RANK)]
        prepared_ranks: abc.Container[int] = ()
        if self.state is State.AWAIT_COPIES:
            prepared_ranks = {
                r.rank
                for r in self._reports.values()
                if r.prepared == self._token and r.rank != HOLD_RANK
            }
        return [
            RequestReport(rank=r)
            for r in range(self.size)
            if r not in prepared_ranks
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
        self._unanswered[rank] = _SentOrder(order=order, at=now)
        return [order]
