"""Numbered result codes and the exceptions that carry them.

The thousands digit of a code tells whether the request ran:

* 1xxx: not run, and it never will;
* 2xxx: unknown, it may have run;
* 3xxx: ran, but the answer cannot be given whole;
* 4xxx: a configuration or operator command was refused;
* 5xxx: a program cannot start or reach what it needs.
"""

import dataclasses
import datetime
import enum


class Outcome(enum.Enum):
    """Whether the request behind an error was executed."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    RAN = 'ran'


class Code(enum.IntEnum):
    """Every result code; ``docs/ERRORS.md`` is checked against it."""

    BAD_REQUEST = 1000
    UNAUTHENTICATED = 1001
    UNKNOWN_SERVICE = 1002
    UNKNOWN_OPERATION = 1003
    BODY_TOO_LARGE = 1004
    BAD_JSON = 1005
    BAD_HEADER = 1006
    KEY_REQUIRED = 1007
    KEY_REUSED = 1008
    BAD_TICKET = 1009
    NO_RULE = 1010
    RATE_LIMITED = 1100
    TOO_MANY_IN_FLIGHT = 1101
    OVERLOADED = 1102
    NO_PLACE = 1103
    NO_ENDPOINT = 1200
    DRAINING = 1201
    DEADLINE_PASSED = 1202
    SEALED = 1203
    ENDPOINT_UNREACHABLE = 1204
    GROUP_DOWN = 1205
    LOG_UNAVAILABLE = 1300
    KEY_NOT_JUDGEABLE = 1301
    NO_FLEET = 1302
    FATE_UNKNOWN = 2000
    INCARNATION_GONE = 2001
    ENDPOINT_LOST = 2002
    KEY_UNDECIDED = 2003
    INTERNAL = 2004
    ANSWER_EXPIRED = 3000
    ANSWER_BROKEN = 3001
    ANSWER_CUT = 3002
    ENDPOINT_FAILED = 3003
    CONFIG_INVALID = 4000
    CONFIG_CONFLICT = 4001
    CONFIG_DIGEST = 4002
    APPEND_UNKNOWN = 4003
    NOT_IN_FORCE = 4004
    NOT_FOUND = 4005
    SETTINGS_INVALID = 5000
    PORT_UNAVAILABLE = 5001
    LOG_DOWN = 5002
    HOST_LIST_DOWN = 5003


DESCRIPTIONS: dict[Code, str] = {
    Code.BAD_REQUEST: 'the request lacks something; see `param`',
    Code.UNAUTHENTICATED: 'no organisation has this credential',
    Code.UNKNOWN_SERVICE: 'the fleet has no such service',
    Code.UNKNOWN_OPERATION: 'the service has no such operation',
    Code.BODY_TOO_LARGE: 'the body is larger than `max_body_bytes`',
    Code.BAD_JSON: 'the body is not one JSON object',
    Code.BAD_HEADER: 'a header has a value that is not allowed',
    Code.KEY_REQUIRED: 'a call that must not be repeated has no key',
    Code.KEY_REUSED: 'the key was used with another content',
    Code.BAD_TICKET: "the ticket is forged, or another organisation's",
    Code.NO_RULE: 'no rule lets the organisation make this call',
    Code.RATE_LIMITED: 'the organisation is over its rate',
    Code.TOO_MANY_IN_FLIGHT: 'the organisation has too many calls open',
    Code.OVERLOADED: 'the lane is full, or the wait passes the deadline',
    Code.NO_PLACE: 'a stream would wait for a place; come back as told',
    Code.NO_ENDPOINT: 'no endpoint of the service takes work now',
    Code.DRAINING: 'the entry or the endpoint is shutting down',
    Code.DEADLINE_PASSED: 'the deadline passed before the call started',
    Code.SEALED: 'the attempt did not run and never will',
    Code.ENDPOINT_UNREACHABLE: 'the endpoint or its agent is away',
    Code.GROUP_DOWN: 'the ranks of the model group do not run now',
    Code.LOG_UNAVAILABLE: 'the log that decides keys is down',
    Code.KEY_NOT_JUDGEABLE: 'claims of this key may have been trimmed',
    Code.NO_FLEET: 'no fleet is in force here yet',
    Code.FATE_UNKNOWN: 'an attempt may have run; its fate is not known',
    Code.INCARNATION_GONE: 'the agent that had the call was restarted',
    Code.ENDPOINT_LOST: 'the endpoint was lost before the end',
    Code.KEY_UNDECIDED: 'refused before the key was judged; an earlier '
    'submission of it may have run',
    Code.ANSWER_EXPIRED: 'it ran; its answer is no longer kept',
    Code.ANSWER_BROKEN: 'it ran; the answer fails its digest',
    Code.ANSWER_CUT: 'it ran; the answer ends early',
    Code.ENDPOINT_FAILED: 'it ran; the endpoint broke its protocol',
    Code.CONFIG_INVALID: 'a fleet file or an argument is wrong',
    Code.CONFIG_CONFLICT: "another operator's change came first",
    Code.CONFIG_DIGEST: 'the change does not give the intended whole',
    Code.APPEND_UNKNOWN: 'it is not known whether a change was accepted',
    Code.NOT_IN_FORCE: 'accepted, but not yet in force everywhere',
    Code.NOT_FOUND: 'there is nothing of that name',
    Code.SETTINGS_INVALID: 'a settings file is missing or wrong',
    Code.PORT_UNAVAILABLE: 'the port cannot be listened on',
    Code.LOG_DOWN: 'the log service does not answer',
    Code.HOST_LIST_DOWN: 'the host list does not answer',
    Code.INTERNAL: 'aspenfold itself is at fault; please report it',
}
"""One line for each code, for ``docs/ERRORS.md``."""


HTTP_STATUS: dict[Code, int] = {
    Code.BAD_REQUEST: 400,
    Code.UNAUTHENTICATED: 401,
    Code.UNKNOWN_SERVICE: 404,
    Code.UNKNOWN_OPERATION: 404,
    Code.BODY_TOO_LARGE: 413,
    Code.BAD_JSON: 400,
    Code.BAD_HEADER: 400,
    Code.KEY_REQUIRED: 400,
    Code.KEY_REUSED: 422,
    Code.BAD_TICKET: 400,
    Code.NO_RULE: 403,
    Code.RATE_LIMITED: 429,
    Code.TOO_MANY_IN_FLIGHT: 429,
    Code.DEADLINE_PASSED: 504,
    Code.FATE_UNKNOWN: 502,
    Code.INCARNATION_GONE: 502,
    Code.ENDPOINT_LOST: 502,
    Code.INTERNAL: 500,
    Code.ANSWER_EXPIRED: 409,
    Code.ANSWER_BROKEN: 502,
    Code.ANSWER_CUT: 502,
    Code.ENDPOINT_FAILED: 502,
    Code.CONFIG_INVALID: 422,
    Code.CONFIG_CONFLICT: 409,
    Code.NOT_FOUND: 404,
}
"""HTTP status by code; codes that are not named answer 503."""


def outcome_of(code: Code) -> Outcome:
    """Return whether a request that ended in ``code`` was executed."""
    if code < 2000:
        return Outcome.NOT_RUN
    if code < 3000:
        return Outcome.UNKNOWN
    if code < 4000:
        return Outcome.RAN
    return Outcome.NOT_RUN


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Failure:
    """The coded end of a request, as a message between kernel parts.

    ``field`` names the offending header, JSON path or setting;
    ``remedy`` tells the caller what to do next.
    """

    code: Code
    detail: str
    field: str = ''
    remedy: str = ''
    retry_after: datetime.timedelta | None = None

    @property
    def outcome(self) -> Outcome:
        """Whether the request ran."""
        return outcome_of(self.code)

    @property
    def http_status(self) -> int:
        """The HTTP status towards callers."""
        return HTTP_STATUS.get(self.code, 503)


class AspenfoldError(Exception):
    """Base of every error that reaches a person; carries a code."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure

    def __str__(self) -> str:
        parts = [f'[{int(self.failure.code)}] {self.failure.detail}']
        if self.failure.field:
            parts.append(f'field: {self.failure.field}')
        if self.failure.remedy:
            parts.append(f'try: {self.failure.remedy}')
        return '; '.join(parts)


class RequestError(AspenfoldError):
    """A caller's request that is refused before it enters the kernel."""


class ConfigError(AspenfoldError):
    """A fleet or an operator command that is refused."""


class SettingsError(AspenfoldError):
    """A settings file or start-up condition that is refused."""


class LogUnavailable(AspenfoldError):
    """The log service did not answer; an append's fate is unknown."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            Failure(
                code=Code.LOG_DOWN,
                detail=detail,
                remedy='check the log service and try again',
            )
        )
