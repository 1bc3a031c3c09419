"""Tickets: idempotency keys that are bound to one incarnation of an agent.

The agent alone decides about a ticket, from memory, so a ticketed
request runs at most once even if the log is unavailable or the network
is partitioned.  If the agent restarts, the outcome stays unknown.
"""

import dataclasses
import datetime
import hashlib
import hmac

from aspenfold._internal.kernel import clock

TICKET_PREFIX = 'aft1'
FIELD_COUNT = 6
MAC_HEX_DIGITS = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """The fields of a ticket.

    ``nonce`` is unique and gives the attempt its id; ``expires`` is UTC.
    """

    organisation: str
    endpoint: str
    incarnation: str
    nonce: str
    expires: datetime.datetime


def mint(ticket: Ticket, system_key: str) -> str:
    """Return the signed ticket as an ``Idempotency-Key`` value."""
    expires = clock.to_unix_ms(ticket.expires)
    text = '.'.join(
        (
            TICKET_PREFIX,
            ticket.endpoint,
            ticket.incarnation,
            ticket.nonce,
            str(expires),
        )
    )
    return f'{text}.{_mac(text, ticket.organisation, system_key)}'


def is_ticket(key: str) -> bool:
    """Return whether ``key`` starts with the prefix of tickets."""
    return key.startswith(TICKET_PREFIX + '.')


def parse(key: str, organisation: str, system_key: str) -> Ticket | None:
    """Return the ticket in ``key``.

    Returns None if it is malformed, or not signed with ``system_key`` for
    ``organisation``.
    """
    text, _, mac = key.rpartition('.')
    parts = key.split('.')
    if len(parts) != FIELD_COUNT or not parts[4].isdigit():
        return None
    if not hmac.compare_digest(mac, _mac(text, organisation, system_key)):
        return None
    return Ticket(
        organisation=organisation,
        endpoint=parts[1],
        incarnation=parts[2],
        nonce=parts[3],
        expires=clock.from_unix_ms(int(parts[4])),
    )


def _mac(text: str, organisation: str, system_key: str) -> str:
    message = f'{organisation}\0{text}'.encode()
    mac = hmac.new(system_key.encode(), message, hashlib.sha256)
    return mac.hexdigest()[:MAC_HEX_DIGITS]
