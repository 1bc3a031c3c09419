"""``make demo``: the whole path as processes, on real requests.

Starts each deployment's example fleet with the stand-ins on free
loopback ports, applies it, sends calls, checks every answer, drains an
endpoint under a stream, and prints the audit trail.  Exits 0 only if
all of it held.
"""

import json
import pathlib
import sys
import tempfile
import threading
import time
import typing

from aspenfold_standins import engine
from aspenfold_standins import launcher

ROOT = pathlib.Path(__file__).resolve().parent.parent


class Story(typing.NamedTuple):
    """The names that a deployment's demo uses."""

    fleet: str
    organisation: str
    plain: str
    ping: str
    once: str
    model: str


STORIES = (
    Story(
        fleet='partitions',
        organisation='octave-levis',
        plain='till-api',
        ping='proof-check',
        once='page-turn',
        model='engrave-llm',
    ),
    Story(
        fleet='calabash',
        organisation='arima-library',
        plain='archive-api',
        ping='catalogue-lookup',
        once='annotation-write',
        model='annotator',
    ),
)

TOKENS = 60
DRAINED_TOKENS = 400


class Failed(Exception):
    """Something that the demo shows did not hold."""


def check(holds: bool, what: str) -> None:
    """Print what was checked; raise if it does not hold."""
    print(f'  {"ok  " if holds else "FAIL"} {what}', flush=True)
    if not holds:
        raise Failed(what)


class Demo:
    """One deployment's demo."""

    def __init__(
        self, *, story: Story, deployment: launcher.Deployment
    ) -> None:
        self.story = story
        self.deployment = deployment
        self.headers = {
            'Authorization': f'Bearer demo-{story.organisation}-secret'
        }

    def run(self) -> None:
        """Show everything."""
        self.apply()
        self.ping()
        self.once()
        self.stream()
        self.drain()
        self.audit()

    def url(self, entry: int) -> str:
        """Return the base URL of an entry."""
        name = self.deployment.entry_names()[entry]
        return self.deployment.processes[name].url

    def apply(self) -> None:
        """Put the fleet in force through the log."""
        result = self.deployment.run_operator_command(
            'apply', str(self.deployment.fleet_file), '--reason=demo'
        )
        print(result.stdout)
        check(result.returncode == 0, 'the fleet is in force on every entry')
        self.deployment.wait_for(
            'all ranks', self.deployment.all_ranks_have_map
        )
        check(True, 'every rank group steps on one expert map')

    def ping(self) -> None:
        """Send an interactive call."""
        story = self.story
        began = time.monotonic()
        answer = self.deployment.request(
            'POST',
            f'{self.url(0)}/services/{story.plain}/{story.ping}',
            {'ping': 1},
            self.headers,
        )
        taken = (time.monotonic() - began) * 1000
        check(answer.status == 200, f'{story.ping} answered: {answer.data!r}')
        print(f'       in {taken:.0f} ms')

    def once(self) -> None:
        """Send a call that must not be repeated, twice, at two zones."""
        story = self.story
        headers = {**self.headers, 'Idempotency-Key': 'demo-job-1'}
        path = f'/services/{story.plain}/{story.once}'
        answers = [
            self.deployment.request(
                'POST', self.url(entry) + path, {'job': 7}, headers
            )
            for entry in (0, 1)
        ]
        for answer in answers:
            print(f'       {answer.status} {answer.data!r}')
        check(
            answers[0].status == 200 and answers[0].data == answers[1].data,
            f'{story.once} sent to two zones: the same answer twice',
        )
        runs = self.runs_of(f'/{story.once}')
        check(len(runs) == 1, f'{story.once} ran {len(runs)} time')
        missing = self.deployment.request(
            'POST', self.url(0) + path, {'job': 8}, self.headers
        )
        check(
            missing.status == 400
            and missing.headers['Aspenfold-Outcome'] == 'not-run',
            f'without a key it is refused: {missing.data!r}',
        )

    def runs_of(self, operation: str) -> list[typing.Any]:
        """Return all executions of an operation, over all endpoints."""
        records = [
            self.deployment.fetch_record(name)
            for name in self.deployment.processes
            if name.startswith('plain-')
        ]
        return [
            run
            for record in records
            for run in record['runs']
            if run['operation'] == operation
        ]

    def generate(self, entry: int, prompt: str, tokens: int) -> str:
        """Stream a generation and return its text; check its end."""
        answer = self.deployment.request(
            'POST',
            f'{self.url(entry)}/v1/completions',
            {
                'model': self.story.model,
                'prompt': prompt,
                'max_tokens': tokens,
                'stream': True,
            },
            self.headers,
        )
        events = answer.data.decode().strip().split('\n\n')
        if events[-1] != f'id: {tokens}\ndata: [DONE]':
            raise Failed(f'the stream ended in {events[-1]!r}')
        chunks = [
            json.loads(event.split('data: ', 1)[1]) for event in events[:-1]
        ]
        return ''.join(chunk['choices'][0]['text'] for chunk in chunks)

    def stream(self) -> None:
        """Stream a generation and compare it with the engine's."""
        text = self.generate(1, 'Gloria in D', TOKENS)
        check(
            text == engine.generate_text('Gloria in D', TOKENS),
            f'a stream of {TOKENS} tokens is whole: {text[:32]!r}...',
        )

    def drain(self) -> None:
        """Drain an endpoint while it streams."""
        texts: list[str] = []
        thread = threading.Thread(
            target=lambda: texts.append(
                self.generate(0, 'Kyrie in G', DRAINED_TOKENS)
            )
        )
        thread.start()
        self.deployment.wait_for('a stream', lambda: bool(self.busy()))
        (name,) = self.busy()
        result = self.deployment.run_operator_command(
            'drain', name, '--reason=demo'
        )
        check(result.returncode == 0, f'{name} drains under a stream')
        self.deployment.wait_for('the drain', lambda: self.leaving(name))
        thread.join()
        check(
            texts == [engine.generate_text('Kyrie in G', DRAINED_TOKENS)],
            f'its stream of {DRAINED_TOKENS} tokens was not cut',
        )

    def busy(self) -> list[str]:
        """Return the endpoints that this entry has work on."""
        status = self.deployment.fetch_entry_status(
            self.deployment.entry_names()[0]
        )
        assert status is not None
        return [e['name'] for e in status['endpoints'] if e['in_flight_here']]

    def leaving(self, name: str) -> bool:
        """Return whether every entry sees the endpoint leave."""
        reports = [
            self.deployment.fetch_entry_status(entry)
            for entry in self.deployment.entry_names()
        ]
        return all(
            report is not None
            and any(
                e['name'] == name and e['leaving'] for e in report['endpoints']
            )
            for report in reports
        )

    def audit(self) -> None:
        """Print the audit trail."""
        result = self.deployment.run_operator_command('audit')
        print(result.stdout)
        kinds = ('config', 'lease', 'map', 'membership')
        check(
            all(f' {kind} ' in result.stdout for kind in kinds),
            f'the audit trail shows {", ".join(kinds)}',
        )


def show(story: Story) -> bool:
    """Run one deployment's demo; return whether all held."""
    print(f'\n=== {story.fleet}', flush=True)
    with tempfile.TemporaryDirectory() as directory:
        deployment = launcher.Deployment(
            fleet_file=ROOT / 'examples' / f'{story.fleet}.json',
            directory=pathlib.Path(directory),
        )
        try:
            deployment.start()
            count = len(deployment.processes)
            zones = len(deployment.fleet.zones())
            print(f'  {count} processes in {zones} availability zones')
            Demo(story=story, deployment=deployment).run()
        except (Failed, launcher.LaunchError) as exc:
            print(f'  FAILED: {exc}', file=sys.stderr)
            errors = pathlib.Path(directory, 'stderr.txt')
            print(errors.read_text(encoding='utf-8'), file=sys.stderr)
            return False
        finally:
            deployment.stop()
    return True


def main() -> int:
    """Run every demo."""
    began = time.monotonic()
    results = [show(story) for story in STORIES]
    taken = time.monotonic() - began
    held = all(results)
    print(f'\n{"all held" if held else "FAILED"}, in {taken:.1f} s')
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(main())
