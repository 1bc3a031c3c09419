"""Numbered log events; ``docs/EVENTS.md`` is generated from them.

Never pass a credential, a key or a request body as a field.
"""

import enum
import sys

import eliot

from aspenfold._internal.observability import output


class Event(enum.IntEnum):
    """Every event that a program can log.

    100s: processes; 200s: calls; 300s: attempts; 400s: configuration;
    500s: membership; 600s: expert maps; 700s: the platform.
    """

    STARTED = 100
    DRAINING = 101
    STOPPED = 102
    DRAIN_LIMIT = 103
    UNEXPECTED = 104
    RELOADED = 105
    CALL_FINISHED = 201
    CALL_FAILED = 202
    CALLER_LEFT = 203
    CALL_RESUMED = 204
    PROMPT_PARTS_INVALID = 205
    CALLER_SLOW = 206
    CONNECTION_CLOSED = 207
    READER_CUT = 208
    ATTEMPT_OPENED = 300
    ATTEMPT_LOST = 301
    ATTEMPT_STARTED = 302
    ATTEMPT_ENDED = 303
    ATTEMPT_REFUSED = 304
    ATTEMPT_DECLINED = 305
    ATTEMPT_MISDIRECTED = 306
    CONFIG_IN_FORCE = 400
    RECORD_REJECTED = 401
    RECORD_WRITTEN = 402
    PEER_ADOPTED = 403
    PLAN_IN_FORCE = 404
    HISTORY_TRIMMED = 405
    REPORT_LOST = 500
    INCARNATION_CHANGED = 501
    ENDPOINT_LISTED = 502
    ENDPOINT_GONE = 503
    ENDPOINT_DOUBTED = 504
    ROSTER_UNSURE = 505
    ENDPOINT_LIMITED = 506
    HEADER_UNKNOWN = 507
    HEADER_INVALID = 508
    PEER_UPDATE_CUT = 509
    ENDPOINT_BACKOFF = 510
    ENDPOINT_LEAVING = 511
    FIELD_UNKNOWN = 512
    ENDPOINT_ENDED = 513
    QUARANTINE_BEGUN = 514
    QUARANTINE_ENDED = 515
    QUARANTINE_NOT_STORED = 516
    QUARANTINE_TRIAL = 517
    ENDPOINT_CHECKED = 518
    CRASH_LEARNT = 519
    ENDPOINT_REPLACED = 520
    ENTRY_SET_ASIDE = 521
    ORDER_REFUSED = 601
    LEADERSHIP = 602
    GROUP_FOUND = 603
    GROUP_LOST = 604
    MAP_PLANNED = 605
    SWITCH_MOVED = 606
    LEASE_UNSURE = 607
    RANKS_SLOW = 608
    GROUP_STANDS = 609
    GROUP_RUNS = 610
    GROUP_AWAITED = 611
    GROUP_LEFT_HELD = 612
    AGENT_LOST = 613
    ENGINE_SILENT = 614
    RANK_KNOWN = 615
    LOG_LOST = 700
    LOG_BACK = 701
    HOST_LIST_LOST = 702
    NEWS_FOLLOWED = 703
    NEWS_LOST = 704


DESCRIPTIONS: dict[Event, str] = {
    Event.STARTED: 'a program is ready to serve',
    Event.DRAINING: 'a program was asked to stop and finishes its work',
    Event.STOPPED: 'a program has stopped',
    Event.DRAIN_LIMIT: 'a drain reached its time limit with work in flight',
    Event.UNEXPECTED: 'an unexpected error occurred; please report it',
    Event.RELOADED: 'a program was asked to reload its settings',
    Event.CALL_FINISHED: 'a caller got a complete answer',
    Event.CALL_FAILED: 'a call ended with an error',
    Event.CALLER_LEFT: 'a caller closed its connection early',
    Event.CALL_RESUMED: 'a broken stream resumes at another endpoint',
    Event.PROMPT_PARTS_INVALID: "a call's list of prompt parts has entries "
    'that cannot be read',
    Event.CALLER_SLOW: 'a caller takes long to read a response, or has left; '
    'its memory is not counted any more',
    Event.CONNECTION_CLOSED: "a caller's connection without a request in "
    'progress, or with more sent ahead, gave way to another one',
    Event.READER_CUT: 'a connection was reset, as its caller left too much '
    'of its responses unread',
    Event.ATTEMPT_OPENED: 'an attempt was sent to an agent or endpoint',
    Event.ATTEMPT_LOST: 'an attempt ended without a complete answer',
    Event.ATTEMPT_STARTED: 'an agent sent an attempt to its endpoint',
    Event.ATTEMPT_ENDED: 'an endpoint completed the answer to an attempt',
    Event.ATTEMPT_REFUSED: 'an endpoint gave no complete answer',
    Event.ATTEMPT_DECLINED: 'an endpoint did not run an attempt, with what it '
    'stated',
    Event.ATTEMPT_MISDIRECTED: 'an endpoint answered 421, with what it stated '
    'and whether the request had conditions of its own',
    Event.CONFIG_IN_FORCE: 'an entry applied a configuration',
    Event.RECORD_REJECTED: 'a record in the log or store was rejected',
    Event.RECORD_WRITTEN: 'an entry appended a record to the log',
    Event.PEER_ADOPTED: 'an entry adopted the fleet state of a peer',
    Event.PLAN_IN_FORCE: 'a gateway applied a plan',
    Event.HISTORY_TRIMMED: 'records were trimmed before they were read',
    Event.REPORT_LOST: "an endpoint's agent does not respond",
    Event.INCARNATION_CHANGED: 'an agent was restarted',
    Event.ENDPOINT_LISTED: 'an endpoint was added to the list, or is draining',
    Event.ENDPOINT_GONE: 'an endpoint was removed from the list',
    Event.ENDPOINT_DOUBTED: 'a gateway stops using an endpoint for a while',
    Event.ROSTER_UNSURE: 'the list of gateways could not be read',
    Event.ENDPOINT_LIMITED: 'an endpoint stated, changed or lifted its rate '
    'limit',
    Event.HEADER_UNKNOWN: 'an endpoint sent a header that is not known here',
    Event.HEADER_INVALID: 'an endpoint sent a header with an invalid value',
    Event.PEER_UPDATE_CUT: 'an update to peers was too large for a datagram',
    Event.ENDPOINT_BACKOFF: 'an endpoint refused and asked for no requests '
    'for a while',
    Event.ENDPOINT_LEAVING: 'an endpoint stated that it will stop soon',
    Event.FIELD_UNKNOWN: "an endpoint's entry or report has a field that is "
    'not known here',
    Event.ENDPOINT_ENDED: 'an endpoint does not listen any more after an '
    'attempt there was lost',
    Event.QUARANTINE_BEGUN: 'requests with a fingerprint are kept from all '
    'endpoints, since several ended under them',
    Event.QUARANTINE_ENDED: 'requests with a fingerprint are sent again',
    Event.QUARANTINE_NOT_STORED: 'a quarantine could not be written to the '
    'store; it is tried again',
    Event.QUARANTINE_TRIAL: 'one request is sent to see whether a quarantine '
    'is still needed',
    Event.ENDPOINT_CHECKED: 'whether an endpoint ended under an attempt that '
    'got no complete answer, or why nobody looked',
    Event.CRASH_LEARNT: 'a gateway learnt of a crash, or of more requests '
    'under which it came',
    Event.ENDPOINT_REPLACED: 'another start has the place of an endpoint, by '
    'which sign, and how many of its requests were withdrawn',
    Event.ENTRY_SET_ASIDE: 'an entry contradicts what is known of its '
    'endpoint; it counts if it is repeated',
    Event.ORDER_REFUSED: 'an engine did not accept an order',
    Event.LEADERSHIP: 'a gateway starts or stops leading the groups',
    Event.GROUP_FOUND: 'a leader has found all ranks of a group',
    Event.GROUP_LOST: 'a group lost a rank, or another leader took over',
    Event.MAP_PLANNED: 'a leader starts changing an expert map',
    Event.SWITCH_MOVED: 'a map change reached its next state',
    Event.LEASE_UNSURE: 'a lease could not be read or written',
    Event.RANKS_SLOW: "the slowdowns of a group's ranks changed",
    Event.GROUP_STANDS: 'a group became unavailable',
    Event.GROUP_RUNS: 'a group recovered',
    Event.GROUP_AWAITED: 'a request waits for an unavailable group',
    Event.GROUP_LEFT_HELD: 'a leader stopped; its group may still be held',
    Event.AGENT_LOST: "a gateway skips a rank's agent for a while",
    Event.ENGINE_SILENT: 'an engine did not respond to its agent',
    Event.RANK_KNOWN: 'a gateway learned the group of a rank',
    Event.LOG_LOST: 'the log service is unavailable',
    Event.LOG_BACK: 'the log service is available again',
    Event.HOST_LIST_LOST: 'the host list is unavailable',
    Event.NEWS_FOLLOWED: 'a gateway gets store records relayed by a peer',
    Event.NEWS_LOST: 'the relay from that peer ended',
}
"""Description of each event, for ``docs/EVENTS.md``."""


def configure(log_file: str) -> None:
    """Log JSON lines to ``log_file``, or to standard error if empty."""
    stream = sys.stderr
    if log_file:
        stream = open(log_file, 'a', encoding='utf-8')  # noqa: SIM115
    eliot.to_file(stream)


def configure_output() -> None:
    """Log JSON lines to standard output; never blocks."""
    eliot.add_destinations(output.stdout_destination())


def emit(event: Event, **fields: object) -> None:
    """Log ``event`` with ``fields``, which must be JSON values."""
    eliot.log_message(
        message_type=f'aspenfold:{event.name.lower()}',
        event=int(event),
        **fields,
    )
