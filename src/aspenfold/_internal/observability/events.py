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
    ORDER_REFUSED = 601
    LOG_LOST = 700
    LOG_BACK = 701
    HOST_LIST_LOST = 702


MEANING: dict[Event, str] = {
    Event.STARTED: 'a program is ready to serve',
    Event.DRAINING: 'a program was told to stop and finishes its work',
    Event.STOPPED: 'a program has ended',
    Event.DRAIN_LIMIT: 'work was cut at the configured drain limit',
    Event.UNEXPECTED: 'a background task failed; please report it',
    Event.CALL_FINISHED: 'a caller got its whole answer',
    Event.CALL_FAILED: 'a caller got a coded error',
    Event.CALLER_LEFT: 'a caller closed its connection early',
    Event.ATTEMPT_OPENED: 'an entry sent an attempt to an agent',
    Event.ATTEMPT_LOST: 'an entry lost its leg to an agent',
    Event.ATTEMPT_STARTED: 'an agent handed an attempt to its endpoint',
    Event.ATTEMPT_ENDED: 'an endpoint answered an attempt whole',
    Event.ATTEMPT_REFUSED: 'an endpoint gave no whole answer',
    Event.CONFIG_IN_FORCE: 'an entry put a configuration in force',
    Event.RECORD_REJECTED: 'a record on the log was judged not valid',
    Event.RECORD_WRITTEN: 'an entry appended a record of its own',
    Event.PEER_ADOPTED: 'an entry took the fleet state of a peer',
    Event.REPORT_LOST: 'an endpoint that is watched does not answer',
    Event.INCARNATION_CHANGED: 'an agent was restarted',
    Event.ORDER_REFUSED: 'an engine did not take an order',
    Event.LOG_LOST: 'the log service does not answer',
    Event.LOG_BACK: 'the log service answers again',
    Event.HOST_LIST_LOST: 'the host list does not answer',
}
"""One line for each event, for ``docs/EVENTS.md``."""


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
