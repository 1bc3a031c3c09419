"""Turns a caller's HTTP request into a validated call, or refuses it."""

import collections
from collections import abc
import dataclasses
import datetime
import hashlib
import hmac
import typing

import orjson

from aspenfold._internal.calls import call as call_module
from aspenfold._internal import exceptions
from aspenfold._internal.kernel import clock
from aspenfold._internal.models import fleet as fleet_model

AUTHORIZATION_HEADER = 'authorization'
IDEMPOTENCY_KEY_HEADER = 'idempotency-key'
DEADLINE_HEADER = 'aspenfold-deadline-ms'
PRIORITY_HEADER = 'aspenfold-priority'
REQUEST_ID_HEADER = 'x-request-id'
BEARER_PREFIX = 'Bearer '
COMPLETIONS_OPERATION = 'completions'
MAX_KEY_LENGTH = 255
MAX_REQUEST_ID_LENGTH = 128

Code = exceptions.Code
PRIORITY_ORDER = list(fleet_model.Priority)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RawRequest:
    """A request as it came in; header names are in lower case.

    ``service`` and ``operation`` come from the path; an empty service
    is named by the body's ``model``.
    """

    service: str
    operation: str
    headers: abc.Mapping[str, str]
    body: bytes
    received_at: datetime.datetime
    request_id: str


def request_error(
    code: Code, detail: str, *, field: str, remedy: str
) -> exceptions.RequestError:
    """Return the error for a bad request."""
    return exceptions.RequestError(
        exceptions.Failure(
            code=code, detail=detail, field=field, remedy=remedy
        )
    )


class RequestValidator:
    """Checks requests against the fleet in force."""

    def __init__(self) -> None:
        self._fleet: fleet_model.Fleet | None = None
        self._by_hash: dict[str, fleet_model.Organisation] = {}
        self._operations: dict[str, dict[str, fleet_model.Operation]] = (
            collections.defaultdict(dict)
        )

    def set_fleet(self, fleet: fleet_model.Fleet) -> None:
        """Check against ``fleet`` from now on."""
        if fleet is self._fleet:
            return
        self._fleet = fleet
        self._by_hash = {
            credential: organisation
            for organisation in fleet.organisations
            for credential in organisation.credential_sha256
        }
        self._operations = collections.defaultdict(dict)
        for service in fleet.services:
            for operation in service.operations:
                self._operations[service.name][operation.name] = operation

    def authenticate(
        self, headers: abc.Mapping[str, str]
    ) -> fleet_model.Organisation:
        """Return the organisation whose credential the request carries."""
        value = headers.get(AUTHORIZATION_HEADER, '')
        secret = value.removeprefix(BEARER_PREFIX)
        # The look-up is by the hash, which tells a caller who measures
        # its time nothing of use about the secret.
        digest = hashlib.sha256(secret.encode()).hexdigest()
        organisation = self._by_hash.get(digest)
        if value.startswith(BEARER_PREFIX) and organisation is not None:
            return organisation
        raise request_error(
            Code.UNAUTHENTICATED,
            'no known organisation has this credential',
            field='Authorization',
            remedy='send "Authorization: Bearer <credential>" of an '
            'organisation in the fleet',
        )

    def validate(self, raw: RawRequest) -> call_module.Call:
        """Return the validated call; raises RequestError."""
        organisation = self.authenticate(raw.headers)
        body = parse_object(raw.body)
        name = raw.service or _model(body)
        operation = self._operation(name, raw.operation)
        rule = self._rule(organisation.name, name, operation.name)
        key = raw.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        _check_key(key, operation)
        wait = _deadline(raw.headers, rule)
        return call_module.Call(
            call_id=raw.request_id,
            organisation=organisation.name,
            service=name,
            operation=operation.name,
            priority=_priority(raw.headers, rule),
            repeatable=operation.repeatable,
            streamed=operation.streamed and body.get('stream') is True,
            body=raw.body,
            deadline=raw.received_at + wait,
            received_at=raw.received_at,
            key=key,
        )

    def _operation(
        self, service: str, operation: str
    ) -> fleet_model.Operation:
        if service not in self._operations:
            raise request_error(
                Code.UNKNOWN_SERVICE,
                f'there is no service {service!r}',
                field='service',
                remedy=f'use one of {sorted(self._operations)}',
            )
        known = self._operations[service]
        if operation not in known:
            raise request_error(
                Code.UNKNOWN_OPERATION,
                f'{service} has no operation {operation!r}',
                field='operation',
                remedy=f'use one of {sorted(known)}',
            )
        return known[operation]

    def _rule(
        self, organisation: str, service: str, operation: str
    ) -> fleet_model.Rule:
        assert self._fleet is not None
        rule = self._fleet.rule_for(organisation, service, operation)
        if rule is not None:
            return rule
        raise request_error(
            Code.NO_RULE,
            f'no rule lets {organisation} call {service}/{operation}',
            field='rules',
            remedy='ask the operators for a rule that matches',
        )


def parse_object(body: bytes) -> dict[str, typing.Any]:
    """Return the JSON object in ``body``; raises RequestError."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise request_error(
            Code.BAD_JSON,
            f'the body is not JSON: {exc}',
            field='body',
            remedy='send one JSON object',
        ) from None
    if isinstance(value, dict):
        return value
    raise request_error(
        Code.BAD_JSON,
        'the body is not a JSON object',
        field='body',
        remedy='send one JSON object',
    )


def _model(body: dict[str, typing.Any]) -> str:
    value = body.get('model')
    if isinstance(value, str) and value:
        return value
    raise request_error(
        Code.BAD_REQUEST,
        'the body names no model',
        field='model',
        remedy='set "model" to the name of a model service',
    )


def _check_key(key: str, operation: fleet_model.Operation) -> None:
    if not key and not operation.repeatable:
        raise request_error(
            Code.KEY_REQUIRED,
            f'{operation.name} must not be repeated, so it needs a key',
            field='Idempotency-Key',
            remedy='send an Idempotency-Key of your own, and the same '
            'one when you submit again',
        )
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise request_error(
            Code.BAD_HEADER,
            f'the key is longer than {MAX_KEY_LENGTH} printable characters',
            field='Idempotency-Key',
            remedy='use a UUID',
        )


def _deadline(
    headers: abc.Mapping[str, str], rule: fleet_model.Rule
) -> datetime.timedelta:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return rule.default_deadline_ms * clock.MILLISECOND
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise request_error(
            Code.BAD_HEADER,
            f'{text!r:.40} is not a number of milliseconds',
            field='Aspenfold-Deadline-Ms',
            remedy=f'send a whole number from 1 to {rule.max_deadline_ms}',
        )
    value = min(int(text), rule.max_deadline_ms)
    return value * clock.MILLISECOND


def _priority(
    headers: abc.Mapping[str, str], rule: fleet_model.Rule
) -> fleet_model.Priority:
    text = headers.get(PRIORITY_HEADER)
    if text is None:
        return rule.priority
    if text not in PRIORITY_ORDER:
        raise request_error(
            Code.BAD_HEADER,
            f'{text!r:.40} is not a priority',
            field='Aspenfold-Priority',
            remedy=f'use one of {[p.value for p in PRIORITY_ORDER]}',
        )
    asked = fleet_model.Priority(text)
    # A caller may ask for less urgency than its rule gives, never more.
    return max(asked, rule.priority, key=PRIORITY_ORDER.index)


def check_operator(headers: abc.Mapping[str, str], operator_key: str) -> None:
    """Raise RequestError unless the request carries the operators' key."""
    given = headers.get(AUTHORIZATION_HEADER, '').removeprefix(BEARER_PREFIX)
    if hmac.compare_digest(given.encode(), operator_key.encode()):
        return
    raise request_error(
        Code.UNAUTHENTICATED,
        'this page is for operators',
        field='Authorization',
        remedy='send "Authorization: Bearer <operator key>"',
    )
