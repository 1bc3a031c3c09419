"""Invalid requests are rejected with a code, the field and a remedy."""

import json
import typing

from aspenfold_standins import sim as sim_module
import pytest
from tests.lib import fleets

from aspenfold._internal import exceptions
from aspenfold._internal.models import fleet
from aspenfold._internal.network import request_validator

Code = exceptions.Code


def raw(
    *,
    service: str = 'till',
    operation: str = 'ping',
    body: bytes = b'{}',
    secret: str = fleets.SECRET,
    **headers: str,
) -> request_validator.RawRequest:
    """Return a request; underscores in ``headers`` stand for hyphens."""
    return request_validator.RawRequest(
        service=service,
        operation=operation,
        headers={
            'authorization': f'Bearer {secret}',
            **{k.replace('_', '-'): v for k, v in headers.items()},
        },
        body=body,
        received_at=sim_module.START,
        request_id='id-1',
    )


@pytest.fixture
def validator() -> request_validator.RequestValidator:
    """Return a validator that uses the small fleet."""
    result = request_validator.RequestValidator()
    result.set_fleet(fleet.Fleet.model_validate(fleets.document()))
    return result


@pytest.mark.parametrize(
    ('changes', 'code', 'field'),
    [
        ({'secret': 'wrong'}, Code.UNAUTHENTICATED, 'Authorization'),
        ({'service': 'tills'}, Code.UNKNOWN_SERVICE, 'service'),
        ({'operation': 'pong'}, Code.UNKNOWN_OPERATION, 'operation'),
        ({'body': b'{"a":'}, Code.BAD_JSON, 'body'),
        ({'body': b'[1]'}, Code.BAD_JSON, 'body'),
        ({'service': ''}, Code.BAD_REQUEST, 'model'),
        ({'operation': 'job'}, Code.KEY_REQUIRED, 'Idempotency-Key'),
        (
            {'operation': 'job', 'idempotency_key': 'k' * 300},
            Code.BAD_HEADER,
            'Idempotency-Key',
        ),
        (
            {'aspenfold_deadline_ms': 'soon'},
            Code.BAD_HEADER,
            'Aspenfold-Deadline-Ms',
        ),
        (
            {'aspenfold_priority': 'highest'},
            Code.BAD_HEADER,
            'Aspenfold-Priority',
        ),
    ],
)
def test_invalid_request_is_rejected(
    validator: request_validator.RequestValidator,
    changes: dict[str, typing.Any],
    code: Code,
    field: str,
) -> None:
    """The error has the expected code and field, and a remedy."""
    with pytest.raises(exceptions.RequestError) as caught:
        validator.validate(raw(**changes))
    failure = caught.value.failure
    assert failure.code is code
    assert failure.field == field
    assert failure.remedy
    assert failure.outcome is exceptions.Outcome.NOT_RUN


def test_caller_can_lower_but_not_raise_its_priority() -> None:
    """The rule's priority is the highest that a caller can get."""
    document = fleets.document(rules=[{'priority': 'generation'}])
    validator = request_validator.RequestValidator()
    validator.set_fleet(fleet.Fleet.model_validate(document))
    higher = validator.validate(raw(aspenfold_priority='interactive'))
    lower = validator.validate(raw(aspenfold_priority='batch'))
    assert higher.priority is fleet.Priority.GENERATION
    assert lower.priority is fleet.Priority.BATCH


def test_call_without_a_matching_rule_is_rejected() -> None:
    """A call that no rule allows fails with NO_RULE."""
    document = fleets.document(
        rules=[{'service': 'llm', 'priority': 'generation'}]
    )
    validator = request_validator.RequestValidator()
    validator.set_fleet(fleet.Fleet.model_validate(document))
    with pytest.raises(exceptions.RequestError) as caught:
        validator.validate(raw())
    assert caught.value.failure.code is Code.NO_RULE


def test_model_field_names_the_service(
    validator: request_validator.RequestValidator,
) -> None:
    """A completion request names the service in its ``model``."""
    body = json.dumps({'model': 'llm', 'prompt': 'x', 'stream': True})
    call = validator.validate(
        raw(service='', operation='completions', body=body.encode())
    )
    assert call.service == 'llm'
    assert call.streamed
