"""Numbered log events; ``docs/EVENTS.md`` is checked against them.

Never pass a credential, a key or a request body as a field.
"""

import enum
import sys

import eliot


class Event(enum.IntEnum):
    """Every event that a program logs.

    100s: processes; 200s: calls; 300s: attempts; 400s: configuration;
    500s: membership; 600s: expert maps; 700s: the platform.
    """

    STARTED = 100
    DRAINING = 101
    STOPPED = 102
    DRAIN_LIMIT = 103
    UNEXPECTED = 104
    CALL_REFUSED = 200
    CALL_FINISHED = 201
    CALL_FAILED = 202
    CALLER_LEFT = 203
    ATTEMPT_OPENED = 300
    ATTEMPT_LOST = 301
    ATTEMPT_STARTED = 302
    ATTEMPT_ENDED = 303
    ATTEMPT_REFUSED = 304
    CONFIG_IN_FORCE = 400
    RECORD_REJECTED = 401
    RECORD_WRITTEN = 402
    PEER_ADOPTED = 403
    REPORT_LOST = 500
    INCARNATION_CHANGED = 501
    MAP_PLANNED = 600
    ORDER_REFUSED = 601
    LOG_LOST = 700
    LOG_BACK = 701
    HOST_LIST_LOST = 702


def configure(log_file: str) -> None:
    """Send JSON lines to ``log_file``, or to standard error if empty."""
    stream = sys.stderr
    if log_file:
        stream = open(log_file, 'a', encoding='utf-8')  # noqa: SIM115
    eliot.to_file(stream)


def emit(event: Event, **fields: object) -> None:
    """Log ``event`` with plain fields."""
    eliot.log_message(
        message_type=f'aspenfold:{event.name.lower()}',
        event=int(event),
        **fields,
    )
