"""A model engine: the ranks of one group, in lock-step on expert maps.

Rank R is served below ``/ranks/R``.  A step runs once every rank has a
grant for it, and generates one token of each sequence in a batch.  A
token depends only on the prompt and its index, so a resumed stream
continues with the same tokens.
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

from aspenfold_standins import json_server

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
GRANT_POLL_INTERVAL_S = 0.01


def generate_token(prompt: str, index: int) -> str:
    """Return the token at ``index`` of the text generated for ``prompt``."""
    value = zlib.crc32(f'{prompt}\0{index}'.encode())
    return WORDS[value % len(WORDS)] + (f'-{value % 97}')


def generate_text(prompt: str, length: int) -> str:
    """Return the ``length`` tokens generated for ``prompt``, as text."""
    return ''.join(
        generate_token(prompt, index) + ' ' for index in range(length)
    )


def completion_object(text: str) -> dict[str, typing.Any]:
    """Return a completion, or a chunk of one, as the OpenAI API does."""
    return {
        'object': 'text_completion',
        'choices': [{'index': 0, 'text': text}],
    }


@dataclasses.dataclass(kw_only=True)
class Sequence:
    """A running generation.

    ``unsent`` holds the indexes of generated tokens that are not yet in
    the response.  ``finished`` is true once the last token is generated
    or the sequence is cancelled.
    """

    request_id: str
    prompt: str
    next_index: int
    token_count: int
    priority: int
    unsent: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    finished: bool = False


@dataclasses.dataclass(kw_only=True)
class Rank:
    """The state of one rank.

    ``step_runs`` holds its grants as ``[first step, last step, map
    version]``; ``maps`` the experts of each prepared map version.
    """

    number: int
    fencing_token: int = 0
    last_granted_step: int = -1
    step_runs: list[list[int]] = dataclasses.field(default_factory=list)
    maps: dict[int, list[int]] = dataclasses.field(default_factory=dict)
    experts: set[int] = dataclasses.field(default_factory=set)
    sequences: dict[str, Sequence] = dataclasses.field(default_factory=dict)
    stalled: bool = False
    step: int = -1
    generated_tokens: int = 0
    prefix_cache: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    cache_events: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )

    def version_at(self, step: int) -> int | None:
        """Return the map version granted for ``step``, or None."""
        for first, last, version in self.step_runs:
            if first <= step <= last:
                return version
        return None

    def next_granted_step(self, step: int) -> int | None:
        """Return the first granted step from ``step`` on, or None."""
        later = [
            max(first, step)
            for first, last, _ in self.step_runs
            if last >= step
        ]
        return min(later, default=None)


class Engine:
    """All ranks of a group, in one process.

    Faults: ``stall`` (ranks that hold up every step), ``replace`` (ranks
    that lose their state), ``checks_fencing`` (whether orders with an old
    fencing token are refused), ``popularity`` (reported load of each
    expert), ``cadence_ms`` (pause between steps), ``load_lag_ms`` and
    ``event_lag_ms`` (age of reported load and cache events),
    ``event_loss`` (probability that a cache event is not reported).
    """

    def __init__(
        self,
        *,
        ranks: int,
        batch: int,
        step_interval: float,
        weights_url: str,
        seed: int,
        checks_fencing: bool,
        cache_size: int,
    ) -> None:
        self._ranks = [Rank(number=n) for n in range(ranks)]
        self._batch_size = batch
        self._step_interval = step_interval
        self._weights_url = weights_url
        self._rng = random.Random(seed)
        self._faults: dict[str, typing.Any] = {
            'checks_fencing': checks_fencing,
            'load_lag_ms': 200,
            'event_lag_ms': 1000,
            'event_loss': 0.1,
        }
        self._cache_size = cache_size
        self._http = urllib3.PoolManager(maxsize=ranks)
        self._state_changed = threading.Condition()
        self._executed_steps: list[list[typing.Any]] = []
        self._executions: list[dict[str, typing.Any]] = []
        self._refused_orders = 0
        self._load_samples: collections.deque[tuple[float, list[int]]] = (
            collections.deque(maxlen=1000)
        )

    def application(self) -> json_server.Application:
        """Return the HTTP routes."""
        app = json_server.Application()
        app.route('POST', 'ranks', self._post)
        app.route('GET', 'ranks', self._get)
        app.route('DELETE', 'ranks', self._cancel)
        app.route('POST', 'faults', self._set_faults)
        app.route('GET', 'record', self._record)
        return app

    def run(self) -> None:
        """Execute steps forever."""
        step = 0
        while True:
            with self._state_changed:
                step = self._wait_for_next_step(step)
                versions = [r.version_at(step) for r in self._ranks]
                for rank in self._ranks:
                    rank.step = step
                self._executed_steps.append([step, versions])
                for rank in self._ranks:
                    self._generate(rank)
                self._sample_load()
                self._state_changed.notify_all()
            step += 1
            time.sleep(self._step_interval)

    def _wait_for_next_step(self, step: int) -> int:
        while True:
            if not any(rank.stalled for rank in self._ranks):
                granted = [r.next_granted_step(step) for r in self._ranks]
                next_steps = [g for g in granted if g is not None]
                if len(next_steps) == len(granted):
                    if len(set(next_steps)) == 1:
                        return next_steps[0]
                    # A step that not every rank may run is skipped.
                    step = max(next_steps)
                    continue
            self._state_changed.wait(GRANT_POLL_INTERVAL_S)

    def _generate(self, rank: Rank) -> None:
        active = [s for s in rank.sequences.values() if not s.finished]
        active.sort(key=lambda s: s.priority)
        for sequence in active[: self._batch_size]:
            sequence.unsent.append(sequence.next_index)
            sequence.next_index += 1
            rank.generated_tokens += 1
            sequence.finished = sequence.next_index >= sequence.token_count

    def _sample_load(self) -> None:
        now = time.monotonic()
        self._load_samples.append(
            (now, [len(r.sequences) for r in self._ranks])
        )

    def _post(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        rank = self._ranks[int(path[0])]
        if path[1] == 'orders':
            return self._handle_order(rank, body)
        return self._handle_completion(rank, body)

    def _handle_completion(
        self, rank: Rank, body: dict[str, typing.Any]
    ) -> typing.Any:
        sequence = Sequence(
            request_id=body['request_id'],
            prompt=body['prompt'],
            next_index=body.get('resume_from', 0),
            token_count=body.get('max_tokens', 16),
            priority=body.get('priority', 1),
        )
        with self._state_changed:
            self._executions.append(
                {
                    'attempt': sequence.request_id,
                    'rank': rank.number,
                    'started': time.time(),
                    'resume_from': sequence.next_index,
                }
            )
            self._use_cached_prefix(rank, sequence.prompt)
            rank.sequences[sequence.request_id] = sequence
        if body.get('stream'):
            return self._stream(rank, sequence)
        indexes = list(self._wait_tokens(rank, sequence))
        return completion_object(generate_text(sequence.prompt, len(indexes)))

    def _stream(self, rank: Rank, sequence: Sequence) -> abc.Iterator[bytes]:
        for index in self._wait_tokens(rank, sequence):
            data = completion_object(
                generate_token(sequence.prompt, index) + ' '
            )
            yield f'data: {json.dumps(data)}\n\n'.encode()
        yield b'data: [DONE]\n\n'

    def _wait_tokens(
        self, rank: Rank, sequence: Sequence
    ) -> abc.Iterator[int]:
        try:
            while True:
                with self._state_changed:
                    self._state_changed.wait_for(
                        lambda: sequence.unsent or sequence.finished
                    )
                    batch = list(sequence.unsent)
                    sequence.unsent.clear()
                    finished = sequence.finished
                yield from batch
                if finished:
                    return
        finally:
            with self._state_changed:
                rank.sequences.pop(sequence.request_id, None)

    def _cancel(
        self, path: tuple[str, ...], query: typing.Any, body: typing.Any
    ) -> typing.Any:
        with self._state_changed:
            sequences = self._ranks[int(path[0])].sequences
            sequence = sequences.pop(path[2], None)
            if sequence is not None:
                sequence.finished = True
            self._state_changed.notify_all()
        return {'cancelled': sequence is not None}

    def _use_cached_prefix(self, rank: Rank, prompt: str) -> None:
        prefix = prompt[:64]
        now = time.monotonic()
        if prefix not in rank.prefix_cache:
            rank.cache_events.append((now, 'stored', prefix))
        rank.prefix_cache[prefix] = None
        rank.prefix_cache.move_to_end(prefix)
        if len(rank.prefix_cache) > self._cache_size:
            evicted, _ = rank.prefix_cache.popitem(last=False)
            rank.cache_events.append((now, 'evicted', evicted))

    def _handle_order(
        self, rank: Rank, body: dict[str, typing.Any]
    ) -> typing.Any:
        with self._state_changed:
            if self._faults['checks_fencing']:
                if body['fencing'] < rank.fencing_token:
                    self._refused_orders += 1
                    raise json_server.HttpError(
                        409, 'the fencing token is out of date'
                    )
                rank.fencing_token = body['fencing']
        if body['order'] == 'prepare':
            self._prepare(rank, body)
        if body['order'] == 'grant':
            self._grant(rank, body)
        if body['order'] == 'reset':
            with self._state_changed:
                rank.step_runs.clear()
        return {'granted_to': rank.last_granted_step, 'step': rank.step}

    def _prepare(self, rank: Rank, body: dict[str, typing.Any]) -> None:
        for expert in body['experts']:
            if expert not in rank.experts:
                self._load_weights(expert)
                rank.experts.add(expert)
        with self._state_changed:
            rank.maps[body['version']] = body['experts']

    def _load_weights(self, expert: int) -> None:
        if not self._weights_url:
            return
        while True:
            response = self._http.request(
                'GET', f'{self._weights_url}/weights/{expert}', retries=False
            )
            if response.status != 429:
                return
            time.sleep(float(response.headers['Retry-After']))

    def _grant(self, rank: Rank, body: dict[str, typing.Any]) -> None:
        with self._state_changed:
            rank.step_runs = [
                r for r in rank.step_runs if r[1] >= rank.step - 1000
            ]
            run = [body['first'], body['last'], body['version']]
            if run not in rank.step_runs:
                rank.step_runs.append(run)
            rank.last_granted_step = max(rank.last_granted_step, body['last'])
            self._state_changed.notify_all()

    def _get(
        self, path: tuple[str, ...], query: dict[str, str], body: typing.Any
    ) -> typing.Any:
        rank = self._ranks[int(path[0])]
        if path[1] == 'cache_events':
            return self._cache_events(rank, int(query.get('from', 0)))
        with self._state_changed:
            return {
                'step': rank.step,
                'runs': [r for r in rank.step_runs if r[1] > rank.step],
                'prepared': sorted(rank.maps),
                'running': self._reported_load(rank.number),
                'expert_load': self._expert_load(rank),
            }

    def _reported_load(self, rank_number: int) -> int:
        visible_until = time.monotonic() - self._faults['load_lag_ms'] / 1000
        samples = [
            loads for at, loads in self._load_samples if at <= visible_until
        ]
        return samples[-1][rank_number] if samples else 0

    def _expert_load(self, rank: Rank) -> list[float]:
        popularity = self._faults.get('popularity')
        return popularity if popularity and rank.number == 0 else []

    def _cache_events(self, rank: Rank, start: int) -> typing.Any:
        visible_until = time.monotonic() - self._faults['event_lag_ms'] / 1000
        visible = [
            {'number': i, 'kind': kind, 'prefix': prefix}
            for i, (at, kind, prefix) in enumerate(rank.cache_events)
            if i >= start and at <= visible_until
        ]
        loss_probability = self._faults['event_loss']
        return {
            'events': [
                event
                for event in visible
                if self._rng.random() >= loss_probability
            ]
        }

    def _set_faults(
        self, path: typing.Any, query: typing.Any, body: dict[str, typing.Any]
    ) -> typing.Any:
        with self._state_changed:
            for number in body.pop('replace', []):
                replacement = Rank(
                    number=number, step=self._ranks[number].step
                )
                for sequence in self._ranks[number].sequences.values():
                    sequence.finished = True
                self._ranks[number] = replacement
            stalled = body.pop('stall', None)
            if stalled is not None:
                for rank in self._ranks:
                    rank.stalled = rank.number in stalled
            self._step_interval = (
                body.pop('cadence_ms', self._step_interval * 1000) / 1000
            )
            self._faults.update(body)
            self._state_changed.notify_all()
        return {}

    def _record(
        self, path: typing.Any, query: typing.Any, body: typing.Any
    ) -> typing.Any:
        with self._state_changed:
            return {
                'steps': list(self._executed_steps),
                'runs': list(self._executions),
                'refused_orders': self._refused_orders,
                'maps': [sorted(r.maps) for r in self._ranks],
            }
