"""Authenticates and validates callers' HTTP requests."""

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
    """A request that is not yet validated; header names are lower-case.

    ``service`` and ``operation`` come from the path.  If ``service`` is
    empty, the body's ``model`` names the service.
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
    """Return an error to raise for an invalid request.

    ``field`` names the invalid part, ``remedy`` says how to correct it.
    """
    return exceptions.RequestError(
        exceptions.Failure(
            code=code, detail=detail, field=field, remedy=remedy
        )
    )


class RequestValidator:
    """Validates requests against the fleet given to :meth:`set_fleet`."""

    def __init__(self) -> None:
        self._fleet: fleet_model.Fleet | None = None
        self._by_hash: dict[str, fleet_model.Organisation] = {}
        self._operations: dict[str, dict[str, fleet_model.Operation]] = (
            collections.defaultdict(dict)
        )

    def set_fleet(self, fleet: fleet_model.Fleet) -> None:
        """Validate against ``fleet`` from now on."""
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
        """Return the organisation whose credential the request carries.

        Raises RequestError.
        """
        value = headers.get(AUTHORIZATION_HEADER, '')
        secret = value.removeprefix(BEARER_PREFIX)
        # A lookup by hash does not leak the secret through its timing.
        digest = hashlib.sha256(secret.encode()).hexdigest()
        organisation = self._by_hash.get(digest)
        if value.startswith(BEARER_PREFIX) and organisation is not None:
            return organisation
        raise request_error(
            Code.UNAUTHENTICATED,
            'no organisation has this credential',
            field='Authorization',
            remedy='send "Authorization: Bearer <credential>" of an '
            'organisation in the fleet',
        )

    def validate(self, raw: RawRequest) -> call_module.Call:
        """Return the call that a request describes.

        Raises RequestError if the request is invalid or not allowed.
        """
        organisation = self.authenticate(raw.headers)
        body = parse_object(raw.body)
        name = raw.service or _model_name(body)
        operation = self._find_operation(name, raw.operation)
        rule = self._find_rule(organisation.name, name, operation.name)
        idempotency_key = raw.headers.get(IDEMPOTENCY_KEY_HEADER, '')
        _check_idempotency_key(idempotency_key, operation)
        timeout = _timeout(raw.headers, rule)
        return call_module.Call(
            call_id=raw.request_id,
            organisation=organisation.name,
            service=name,
            operation=operation.name,
            priority=_priority(raw.headers, rule),
            repeatable=operation.repeatable,
            streamed=operation.streamed and body.get('stream') is True,
            body=raw.body,
            deadline=raw.received_at + timeout,
            received_at=raw.received_at,
            key=idempotency_key,
        )

    def _find_operation(
        self, service: str, operation: str
    ) -> fleet_model.Operation:
        if service not in self._operations:
            raise request_error(
                Code.UNKNOWN_SERVICE,
                f'service {service!r} does not exist',
                field='service',
                remedy=f'use one of {sorted(self._operations)}',
            )
        operations = self._operations[service]
        if operation not in operations:
            raise request_error(
                Code.UNKNOWN_OPERATION,
                f'{service} has no operation {operation!r}',
                field='operation',
                remedy=f'use one of {sorted(operations)}',
            )
        return operations[operation]

    def _find_rule(
        self, organisation: str, service: str, operation: str
    ) -> fleet_model.Rule:
        assert self._fleet is not None
        rule = self._fleet.rule_for(organisation, service, operation)
        if rule is not None:
            return rule
        raise request_error(
            Code.NO_RULE,
            f'no rule allows {organisation} to call {service}/{operation}',
            field='rules',
            remedy='ask the operators to add a matching rule',
        )


def parse_object(body: bytes) -> dict[str, typing.Any]:
    """Return the JSON object in ``body``.

    Raises RequestError if it is not one JSON object.
    """
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise request_error(
            Code.BAD_JSON,
            f'the body is not valid JSON: {exc}',
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


def _model_name(body: dict[str, typing.Any]) -> str:
    value = body.get('model')
    if isinstance(value, str) and value:
        return value
    raise request_error(
        Code.BAD_REQUEST,
        'the body does not name a model',
        field='model',
        remedy='set "model" to the name of a model service',
    )


def _check_idempotency_key(key: str, operation: fleet_model.Operation) -> None:
    if not key and not operation.repeatable:
        raise request_error(
            Code.KEY_REQUIRED,
            f'{operation.name} is not repeatable and requires a key',
            field='Idempotency-Key',
            remedy='send a unique Idempotency-Key, and the same one when '
            'you retry',
        )
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise request_error(
            Code.BAD_HEADER,
            f'the key must be at most {MAX_KEY_LENGTH} printable characters',
            field='Idempotency-Key',
            remedy='use a UUID',
        )


def _timeout(
    headers: abc.Mapping[str, str], rule: fleet_model.Rule
) -> datetime.timedelta:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return rule.default_deadline_ms * clock.MILLISECOND
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise request_error(
            Code.BAD_HEADER,
            f'{text!r:.40} is not a valid number of milliseconds',
            field='Aspenfold-Deadline-Ms',
            remedy=f'send an integer from 1 to {rule.max_deadline_ms}',
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
    requested = fleet_model.Priority(text)
    # Callers may lower the priority that their rule gives, not raise it.
    return max(requested, rule.priority, key=PRIORITY_ORDER.index)


def check_operator(headers: abc.Mapping[str, str], operator_key: str) -> None:
    """Raise RequestError unless the request carries ``operator_key``."""
    given = headers.get(AUTHORIZATION_HEADER, '').removeprefix(BEARER_PREFIX)
    if hmac.compare_digest(given.encode(), operator_key.encode()):
        return
    raise request_error(
        Code.UNAUTHENTICATED,
        'this page requires the operator key',
        field='Authorization',
        remedy='send "Authorization: Bearer <operator key>"',
    )
