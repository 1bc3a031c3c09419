"""Numbered result codes and the exceptions that carry them.

The thousands digit of a code says whether the request was executed:

* 1xxx: not executed, and it never will be;
* 2xxx: unknown, it may have been executed;
* 3xxx: executed, but the complete answer cannot be returned;
* 4xxx: a configuration or operator command was rejected;
* 5xxx: a program cannot start or cannot reach a service it needs.
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
    """Every result code; ``docs/ERRORS.md`` is generated from it."""

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
    ENDPOINTS_AT_LIMIT = 1104
    ENDPOINTS_BACKED_OFF = 1105
    QUARANTINED = 1106
    NO_MEMORY = 1107
    CONDITION_NOT_MET = 1108
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
    Code.BAD_REQUEST: 'the request is invalid; see `param`',
    Code.UNAUTHENTICATED: 'the credential belongs to no organisation',
    Code.UNKNOWN_SERVICE: 'the fleet has no service of this name',
    Code.UNKNOWN_OPERATION: 'the service has no operation of this name',
    Code.BODY_TOO_LARGE: 'the body is larger than `max_body_bytes`',
    Code.BAD_JSON: 'the body is not a JSON object',
    Code.BAD_HEADER: 'a header has an invalid value',
    Code.KEY_REQUIRED: 'a call that must not be repeated needs an '
    'idempotency key',
    Code.KEY_REUSED: 'the key was already used with different content',
    Code.BAD_TICKET: 'the ticket is invalid or of another organisation',
    Code.NO_RULE: 'no rule allows the organisation to make this call',
    Code.RATE_LIMITED: 'the organisation exceeds its request rate',
    Code.TOO_MANY_IN_FLIGHT: 'the organisation has too many calls in flight',
    Code.OVERLOADED: 'the queue is full, or the expected wait exceeds the '
    'deadline',
    Code.NO_PLACE: 'every rank is at its request limit; retry after '
    '`Retry-After`',
    Code.ENDPOINTS_AT_LIMIT: 'every endpoint is at the rate limit that it '
    'states; retry after `Retry-After`',
    Code.ENDPOINTS_BACKED_OFF: 'every endpoint asked for no requests for a '
    'while; retry after `Retry-After`',
    Code.QUARANTINED: 'endpoints ended under requests like this one; it was '
    'not sent to another',
    Code.NO_MEMORY: 'the gateway has no memory left for the head or body of '
    'the request; retry on another connection',
    Code.CONDITION_NOT_MET: 'no endpoint that was asked has the weights that '
    'the request expects',
    Code.NO_ENDPOINT: 'no endpoint of the service accepts requests',
    Code.DRAINING: 'the entry or the endpoint is shutting down',
    Code.DEADLINE_PASSED: 'the deadline passed before the call started',
    Code.SEALED: 'the attempt was not executed and never will be',
    Code.ENDPOINT_UNREACHABLE: 'the endpoint or its agent is unreachable',
    Code.GROUP_DOWN: 'the model group is unavailable',
    Code.LOG_UNAVAILABLE: 'the log that records the claims of keys is '
    'unavailable',
    Code.KEY_NOT_JUDGEABLE: 'an earlier use of the key can no longer be '
    'ruled out',
    Code.NO_FLEET: 'the entry or gateway has no configuration yet',
    Code.FATE_UNKNOWN: 'it is unknown whether an attempt was executed',
    Code.INCARNATION_GONE: 'the agent chosen for the call was restarted or '
    'removed',
    Code.ENDPOINT_LOST: 'the connection to the endpoint was lost before the '
    'end of the answer',
    Code.KEY_UNDECIDED: 'refused while the key was undecided; an earlier '
    'request with it may have been executed',
    Code.ANSWER_EXPIRED: 'executed; the requested part of the answer is not '
    'stored',
    Code.ANSWER_BROKEN: 'executed; the answer does not match its digest',
    Code.ANSWER_CUT: 'executed; the answer is truncated',
    Code.ENDPOINT_FAILED: 'executed; the endpoint sent an invalid response',
    Code.CONFIG_INVALID: 'a fleet file or an argument is invalid',
    Code.CONFIG_CONFLICT: 'another change was accepted first',
    Code.CONFIG_DIGEST: 'the changed configuration does not have the '
    'expected digest',
    Code.APPEND_UNKNOWN: 'it is unknown whether the change was accepted',
    Code.NOT_IN_FORCE: 'accepted, but not yet in force everywhere',
    Code.NOT_FOUND: 'no object of this name exists',
    Code.SETTINGS_INVALID: 'a settings file is missing or invalid',
    Code.PORT_UNAVAILABLE: 'the program cannot listen on the port',
    Code.LOG_DOWN: 'the log service or the store is unavailable',
    Code.HOST_LIST_DOWN: 'the host list is unavailable',
    Code.INTERNAL: 'internal error; please report it',
}
"""Description of each code, for ``docs/ERRORS.md``."""


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
"""HTTP status by code; 503 for all other codes."""


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
    """Why a request, command or program failed.

    ``field`` names the invalid header, JSON path or setting; ``remedy``
    says what the caller or operator can do about it.
    """

    code: Code
    detail: str
    field: str = ''
    remedy: str = ''
    retry_after: datetime.timedelta | None = None

    @property
    def outcome(self) -> Outcome:
        """Whether the request was executed."""
        return outcome_of(self.code)

    @property
    def http_status(self) -> int:
        """The HTTP status that callers get."""
        return HTTP_STATUS.get(self.code, 503)


class AspenfoldError(Exception):
    """Base class of the errors that carry a ``Failure``."""

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
    """A request was rejected before it reached the kernel."""


class ConfigError(AspenfoldError):
    """A fleet configuration or an operator command was rejected."""


class SettingsError(AspenfoldError):
    """A program cannot start with its settings."""


class LogUnavailable(AspenfoldError):
    """A request to the log failed; an append may have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            Failure(
                code=Code.LOG_DOWN,
                detail=detail,
                remedy='check the log service and try again',
            )
        )
