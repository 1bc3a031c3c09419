"""A model engine: the ranks of one group, in lock-step on expert maps.

Each rank answers below ``/ranks/R``.  A step runs only when every rank
holds a grant for it, and gives one token to every sequence in a batch.
Tokens depend on the prompt alone, so a resumed stream goes on alike.
"""

import collections
from collections import abc
import dataclasses
import json
import random
import threading
import time
import typing
import zlib

import urllib3

from aspenfold_standins import server

WORDS = [
    'alto',
    'bar',
    'bass',
    'beam',
    'chord',
    'clef',
    'coda',
    'page',
    'part',
    'rest',
    'slur',
    'staff',
    'tenor',
    'turn',
    'voice',
]
STALL_POLL = 0.01


def token(prompt: str, index: int) -> str:
    """Return the token at ``index`` of the answer to ``prompt``."""
    value = zlib.crc32(f'{prompt}\0{index}'.encode())
    return WORDS[value % len(WORDS)] + (f'-{value % 97}')


def answer(prompt: str, length: int) -> str:
    """Return the whole answer of ``length`` tokens to ``prompt``."""
    return ''.join(token(prompt, index) + ' ' for index in range(length))


def completion(text: str) -> dict[str, typing.Any]:
    """Return a completion or a chunk of one in the usual form."""
    return {
        'object': 'text_completion',
        'choices': [{'index': 0, 'text': text}],
    }


@dataclasses.dataclass(kw_only=True)
class Sequence:
    """One generation under way; tokens go into ``ready``."""

    request_id: str
    prompt: str
    next_index: int
    total: int
    priority: int
    ready: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    done: bool = False


@dataclasses.dataclass(kw_only=True)
class Rank:
    """One rank: its grants, maps and sequences."""

    number: int
    fencing: int = 0
    granted_to: int = -1
    runs: list[list[int]] = dataclasses.field(default_factory=list)
    maps: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    experts: set[int] = dataclasses.field(default_factory=set)
    sequences: dict[str, Sequence] = dataclasses.field(default_factory=dict)
    stalled: bool = False
    step: int = -1
    tokens: int = 0
    cache: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    events: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )

    def version_at(self, step: int) -> int | None:
        """Return the map version granted for ``step``."""
        for first, last, version in self.runs:
            if first <= step <= last:
                return version
        return None

    def next_granted(self, step: int) -> int | None:
        """Return the first granted step at or after ``step``."""
        later = [max(f, step) for f, last, _ in self.runs if last >= step]
        return min(later, default=None)


class Engine:
    """All ranks of a group, in one process.

    Faults: ``stall`` (rank numbers), ``checks_fencing``, ``replace`` (a
    rank loses all its state), ``popularity`` (load of each expert),
    ``cadence_ms``, ``load_lag_ms``, ``event_lag_ms``, ``event_loss``.
    """

    def __init__(
        self,
        *,
        ranks: int,
        batch: int,
        cadence: float,
        weights: str,
        seed: int,
        checks_fencing: bool,
        cache_size: int,
    ) -> None:
        self._ranks = [Rank(number=n) for n in range(ranks)]
        self._batch = batch
        self._cadence = cadence
        self._weights = weights
        self._rng = random.Random(seed)
        self._faults: dict[str, typing.Any] = {
            'checks_fencing': checks_fencing,
            'load_lag_ms': 200,
            'event_lag_ms': 1000,
            'event_loss': 0.1,
        }
        self._cache_size = cache_size
        self._http = urllib3.PoolManager(maxsize=ranks)
        self._changed = threading.Condition()
        self._steps: list[list[typing.Any]] = []
        self._runs: list[dict[str, typing.Any]] = []
        self._refused_orders = 0
        self._loads: collections.deque[tuple[float, list[int]]] = (
            collections.deque(maxlen=1000)
        )

    def application(self) -> server.Application:
        """Return the HTTP routes."""
        app = server.Application()
        app.route('POST', 'ranks', self._post)
        app.route('GET', 'ranks', self._get)
        app.route('DELETE', 'ranks', self._cancel)
        app.route('POST', 'faults', self._set_faults)
        app.route('GET', 'record', self._record)
        return app

    # -- the lock-step loop ----------------------------------------------

    def run(self) -> None:
        """Step for ever."""
        step = 0
        while True:
            with self._changed:
                step = self._wait_for_grants(step)
                versions = [r.version_at(step) for r in self._ranks]
                for rank in self._ranks:
                    rank.step = step
                self._steps.append([step, versions])
                for rank in self._ranks:
                    self._generate(rank)
                self._note_load()
                self._changed.notify_all()
            step += 1
            time.sleep(self._cadence)

    def _wait_for_grants(self, step: int) -> int:
        while True:
            if not any(rank.stalled for rank in self._ranks):
                granted = [r.next_granted(step) for r in self._ranks]
                known = [g for g in granted if g is not None]
                # Every rank must be granted the same next step.
                if len(known) == len(granted):
                    if len(set(known)) == 1:
                        return known[0]
                    step = max(known)
                    continue
            self._changed.wait(STALL_POLL)

    def _generate(self, rank: Rank) -> None:
        waiting = [s for s in rank.sequences.values() if not s.done]
        waiting.sort(key=lambda s: s.priority)
        for sequence in waiting[: self._batch]:
            sequence.ready.append(sequence.next_index)
            sequence.next_index += 1
            rank.tokens += 1
            sequence.done = sequence.next_index >= sequence.total

    def _note_load(self) -> None:
        now = time.monotonic()
        self._loads.append((now, [len(r.sequences) for r in self._ranks]))

    # -- requests --------------------------------------------------------

    def _post(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        rank = self._ranks[int(path[0])]
        if path[1] == 'orders':
            return self._order(rank, body)
        return self._complete(rank, body)

    def _complete(self, rank: Rank, body: dict[str, typing.Any]) -> typing.Any:
        sequence = Sequence(
            request_id=body['request_id'],
            prompt=body['prompt'],
            next_index=body.get('resume_from', 0),
            total=body.get('max_tokens', 16),
            priority=body.get('priority', 1),
        )
        with self._changed:
            self._runs.append(
                {
                    'attempt': sequence.request_id,
                    'rank': rank.number,
                    'started': time.time(),
                    'resume_from': sequence.next_index,
                }
            )
            self._touch_cache(rank, sequence.prompt)
            rank.sequences[sequence.request_id] = sequence
        if body.get('stream'):
            return self._stream(rank, sequence)
        indexes = list(self._tokens(rank, sequence))
        return completion(answer(sequence.prompt, len(indexes)))

    def _stream(self, rank: Rank, sequence: Sequence) -> abc.Iterator[bytes]:
        for index in self._tokens(rank, sequence):
            data = completion(token(sequence.prompt, index) + ' ')
            yield f'data: {json.dumps(data)}\n\n'.encode()
        yield b'data: [DONE]\n\n'

    def _tokens(self, rank: Rank, sequence: Sequence) -> abc.Iterator[int]:
        try:
            while True:
                with self._changed:
                    self._changed.wait_for(
                        lambda: sequence.ready or sequence.done
                    )
                    batch = list(sequence.ready)
                    sequence.ready.clear()
                    done = sequence.done
                yield from batch
                if done:
                    return
        finally:
            with self._changed:
                rank.sequences.pop(sequence.request_id, None)

    def _cancel(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        with self._changed:
            sequences = self._ranks[int(path[0])].sequences
            sequence = sequences.pop(path[2], None)
            if sequence is not None:
                sequence.done = True
            self._changed.notify_all()
        return {'cancelled': sequence is not None}

    def _touch_cache(self, rank: Rank, prompt: str) -> None:
        prefix = prompt[:64]
        now = time.monotonic()
        if prefix not in rank.cache:
            rank.events.append((now, 'stored', prefix))
        rank.cache[prefix] = None
        rank.cache.move_to_end(prefix)
        if len(rank.cache) > self._cache_size:
            old, _ = rank.cache.popitem(last=False)
            rank.events.append((now, 'evicted', old))

    # -- orders ----------------------------------------------------------

    def _order(self, rank: Rank, body: dict[str, typing.Any]) -> typing.Any:
        with self._changed:
            if self._faults['checks_fencing']:
                if body['fencing'] < rank.fencing:
                    self._refused_orders += 1
                    raise server.HttpError(409, 'an old fencing number')
                rank.fencing = body['fencing']
        if body['order'] == 'prepare':
            self._prepare(rank, body)
        if body['order'] == 'grant':
            self._grant(rank, body)
        if body['order'] == 'reset':
            with self._changed:
                rank.runs.clear()
        return {'granted_to': rank.granted_to, 'step': rank.step}

    def _prepare(self, rank: Rank, body: dict[str, typing.Any]) -> None:
        for expert in body['experts']:
            if expert not in rank.experts:
                self._load(expert)
                rank.experts.add(expert)
        with self._changed:
            rank.maps[body['version']] = body['experts']

    def _load(self, expert: int) -> None:
        if not self._weights:
            return
        while True:
            answer = self._http.request(
                'GET', f'{self._weights}/weights/{expert}', retries=False
            )
            if answer.status != 429:
                return
            time.sleep(float(answer.headers['Retry-After']))

    def _grant(self, rank: Rank, body: dict[str, typing.Any]) -> None:
        with self._changed:
            rank.runs = [r for r in rank.runs if r[1] >= rank.step - 1000]
            run = [body['first'], body['last'], body['version']]
            if run not in rank.runs:
                rank.runs.append(run)
            rank.granted_to = max(rank.granted_to, body['last'])
            self._changed.notify_all()

    # -- what the engine tells -------------------------------------------

    def _get(
        self, path: tuple[str, ...], query: dict[str, str], body: typing.Any
    ) -> typing.Any:
        rank = self._ranks[int(path[0])]
        if path[1] == 'cache_events':
            return self._cache_events(rank, int(query.get('from', 0)))
        with self._changed:
            return {
                'step': rank.step,
                'runs': [r for r in rank.runs if r[1] > rank.step],
                'prepared': sorted(rank.maps),
                'running': self._lagged_load(rank.number),
                'expert_load': self._expert_load(rank),
            }

    def _lagged_load(self, number: int) -> int:
        seen = time.monotonic() - self._faults['load_lag_ms'] / 1000
        rows = [loads for at, loads in self._loads if at <= seen]
        return rows[-1][number] if rows else 0

    def _expert_load(self, rank: Rank) -> list[float]:
        popularity = self._faults.get('popularity')
        return popularity if popularity and rank.number == 0 else []

    def _cache_events(self, rank: Rank, start: int) -> typing.Any:
        seen = time.monotonic() - self._faults['event_lag_ms'] / 1000
        rows = [
            {'number': i, 'kind': kind, 'prefix': prefix}
            for i, (at, kind, prefix) in enumerate(rank.events)
            if i >= start and at <= seen
        ]
        loss = self._faults['event_loss']
        return {'events': [r for r in rows if self._rng.random() >= loss]}

    def _set_faults(
        self, path: typing.Any, query: typing.Any, body: dict[str, typing.Any]
    ) -> typing.Any:
        with self._changed:
            for number in body.pop('replace', []):
                fresh = Rank(number=number, step=self._ranks[number].step)
                for sequence in self._ranks[number].sequences.values():
                    sequence.done = True
                self._ranks[number] = fresh
            stalled = body.pop('stall', None)
            if stalled is not None:
                for rank in self._ranks:
                    rank.stalled = rank.number in stalled
            self._cadence = body.pop('cadence_ms', self._cadence * 1000) / 1000
            self._faults.update(body)
            self._changed.notify_all()
        return {}

    def _record(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        with self._changed:
            return {
                'steps': list(self._steps),
                'runs': list(self._runs),
                'refused_orders': self._refused_orders,
                'maps': [sorted(r.maps) for r in self._ranks],
            }
