"""Tickets: keys minted by the system, bound to one agent incarnation.

The incarnation's memory is then the sole authority on the key, so a
ticketed request runs at most once with no log and through any network
partition; when the incarnation is gone, its fate is unknown for good.
"""

import dataclasses
import datetime
import hashlib
import hmac

from aspenfold._internal.kernel import clock

PREFIX = 'aft1'
FIELDS = 6
MAC_LENGTH = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticket:
    """A parsed ticket; ``nonce`` names the attempt."""

    organisation: str
    endpoint: str
    incarnation: str
    nonce: str
    expires: datetime.datetime


def mint(ticket: Ticket, system_key: str) -> str:
    """Return the ticket as an ``Idempotency-Key`` value."""
    expires = clock.to_unix_ms(ticket.expires)
    text = '.'.join(
        (
            PREFIX,
            ticket.endpoint,
            ticket.incarnation,
            ticket.nonce,
            str(expires),
        )
    )
    return f'{text}.{_mac(text, ticket.organisation, system_key)}'


def is_ticket(key: str) -> bool:
    """Return whether ``key`` claims to be a ticket."""
    return key.startswith(PREFIX + '.')


def parse(key: str, organisation: str, system_key: str) -> Ticket | None:
    """Return the ticket, None if it is forged or another's."""
    text, _, mac = key.rpartition('.')
    parts = key.split('.')
    if len(parts) != FIELDS or not parts[4].isdigit():
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
    return mac.hexdigest()[:MAC_LENGTH]
