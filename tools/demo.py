"""``make demo``: checks the whole system, as processes on loopback.

For each example fleet, starts the processes and stand-ins, applies the
fleet, sends calls and checks every response, drains an endpoint that
streams, and prints the audit trail.  The exit status is 0 only if every
check passed.
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


class Scenario(typing.NamedTuple):
    """An example fleet, and the names in it that the demo uses.

    ``service`` is a plain service; ``once_operation`` is an operation
    of it that must run only once.
    """

    fleet: str
    organisation: str
    service: str
    ping_operation: str
    once_operation: str
    model: str


SCENARIOS = (
    Scenario(
        fleet='partitions',
        organisation='octave-levis',
        service='till-api',
        ping_operation='proof-check',
        once_operation='page-turn',
        model='engrave-llm',
    ),
    Scenario(
        fleet='calabash',
        organisation='arima-library',
        service='archive-api',
        ping_operation='catalogue-lookup',
        once_operation='annotation-write',
        model='annotator',
    ),
)

TOKEN_COUNT = 60
DRAINED_TOKEN_COUNT = 400


class CheckFailed(Exception):
    """A check of the demo failed."""


def check(passed: bool, description: str) -> None:
    """Print the result of a check; raise CheckFailed if it failed."""
    print(f'  {"ok  " if passed else "FAIL"} {description}', flush=True)
    if not passed:
        raise CheckFailed(description)


class Demo:
    """The demo of one deployment."""

    def __init__(
        self, *, scenario: Scenario, deployment: launcher.Deployment
    ) -> None:
        self.scenario = scenario
        self.deployment = deployment
        self.headers = {
            'Authorization': f'Bearer demo-{scenario.organisation}-secret'
        }

    def run(self) -> None:
        """Run all steps of the demo."""
        self.apply_fleet()
        self.send_repeatable_call()
        self.send_once_only_call()
        self.stream_generation()
        self.drain_endpoint()
        self.print_audit_trail()

    def entry_url(self, entry: int) -> str:
        """Return the base URL of an entry."""
        name = self.deployment.entry_names()[entry]
        return self.deployment.processes[name].url

    def apply_fleet(self) -> None:
        """Apply the fleet and wait until every rank has a map."""
        result = self.deployment.run_operator_command(
            'apply', str(self.deployment.fleet_file), '--reason=demo'
        )
        print(result.stdout)
        check(result.returncode == 0, 'every entry uses the fleet')
        self.deployment.wait_for(
            'all ranks', self.deployment.all_ranks_have_map
        )
        check(True, 'every rank reports an expert map in use')

    def send_repeatable_call(self) -> None:
        """Send a call that may be repeated."""
        scenario = self.scenario
        started_at = time.monotonic()
        response = self.deployment.request(
            'POST',
            f'{self.entry_url(0)}/services/{scenario.service}'
            f'/{scenario.ping_operation}',
            {'ping': 1},
            self.headers,
        )
        elapsed_ms = (time.monotonic() - started_at) * 1000
        check(
            response.status == 200,
            f'{scenario.ping_operation} answered: {response.data!r}',
        )
        print(f'       in {elapsed_ms:.0f} ms')

    def send_once_only_call(self) -> None:
        """Send a call that must run only once to entries in two zones."""
        scenario = self.scenario
        headers = {**self.headers, 'Idempotency-Key': 'demo-job-1'}
        path = f'/services/{scenario.service}/{scenario.once_operation}'
        responses = [
            self.deployment.request(
                'POST', self.entry_url(entry) + path, {'job': 7}, headers
            )
            for entry in (0, 1)
        ]
        for response in responses:
            print(f'       {response.status} {response.data!r}')
        check(
            responses[0].status == 200
            and responses[0].data == responses[1].data,
            f'{scenario.once_operation} sent to two zones: '
            'both got the same response',
        )
        executions = self.executions_of(f'/{scenario.once_operation}')
        check(
            len(executions) == 1,
            f'{scenario.once_operation} executions: {len(executions)}',
        )
        without_key = self.deployment.request(
            'POST', self.entry_url(0) + path, {'job': 8}, self.headers
        )
        check(
            without_key.status == 400
            and without_key.headers['Aspenfold-Outcome'] == 'not-run',
            f'without a key the call is refused: {without_key.data!r}',
        )

    def executions_of(self, operation: str) -> list[typing.Any]:
        """Return the executions of an operation on all plain endpoints."""
        records = [
            self.deployment.fetch_record(name)
            for name in self.deployment.processes
            if name.startswith('plain-')
        ]
        return [
            execution
            for record in records
            for execution in record['runs']
            if execution['operation'] == operation
        ]

    def generate_text(self, entry: int, prompt: str, token_count: int) -> str:
        """Stream a generation and return its text.

        Raises CheckFailed if the stream is incomplete.
        """
        response = self.deployment.request(
            'POST',
            f'{self.entry_url(entry)}/v1/completions',
            {
                'model': self.scenario.model,
                'prompt': prompt,
                'max_tokens': token_count,
                'stream': True,
            },
            self.headers,
        )
        events = response.data.decode().strip().split('\n\n')
        if events[-1] != f'id: {token_count}\ndata: [DONE]':
            raise CheckFailed(f'unexpected end of the stream: {events[-1]!r}')
        chunks = [
            json.loads(event.split('data: ', 1)[1]) for event in events[:-1]
        ]
        return ''.join(chunk['choices'][0]['text'] for chunk in chunks)

    def stream_generation(self) -> None:
        """Stream a generation and compare it with the expected text."""
        text = self.generate_text(1, 'Gloria in D', TOKEN_COUNT)
        check(
            text == engine.generate_text('Gloria in D', TOKEN_COUNT),
            f'a stream of {TOKEN_COUNT} tokens is complete: {text[:32]!r}...',
        )

    def drain_endpoint(self) -> None:
        """Drain an endpoint that streams, and check that the stream ends."""
        texts: list[str] = []
        thread = threading.Thread(
            target=lambda: texts.append(
                self.generate_text(0, 'Kyrie in G', DRAINED_TOKEN_COUNT)
            )
        )
        thread.start()
        self.deployment.wait_for(
            'a stream', lambda: bool(self.busy_endpoints())
        )
        (name,) = self.busy_endpoints()
        result = self.deployment.run_operator_command(
            'drain', name, '--reason=demo'
        )
        check(
            result.returncode == 0, f'{name} accepts a drain while it streams'
        )
        self.deployment.wait_for(
            'the drain', lambda: self.is_leaving_everywhere(name)
        )
        thread.join()
        check(
            texts == [engine.generate_text('Kyrie in G', DRAINED_TOKEN_COUNT)],
            f'its stream of {DRAINED_TOKEN_COUNT} tokens was not interrupted',
        )

    def busy_endpoints(self) -> list[str]:
        """Return the endpoints that the first entry has requests on."""
        status = self.deployment.fetch_entry_status(
            self.deployment.entry_names()[0]
        )
        assert status is not None
        return [e['name'] for e in status['endpoints'] if e['in_flight_here']]

    def is_leaving_everywhere(self, name: str) -> bool:
        """Return whether every entry reports that the endpoint leaves."""
        statuses = [
            self.deployment.fetch_entry_status(entry)
            for entry in self.deployment.entry_names()
        ]
        return all(
            status is not None
            and any(
                e['name'] == name and e['leaving'] for e in status['endpoints']
            )
            for status in statuses
        )

    def print_audit_trail(self) -> None:
        """Print the audit trail and check which kinds of change it lists."""
        result = self.deployment.run_operator_command('audit')
        print(result.stdout)
        kinds = ('config', 'lease', 'map', 'membership')
        check(
            all(f' {kind} ' in result.stdout for kind in kinds),
            f'the audit trail lists {", ".join(kinds)}',
        )


def run_demo(scenario: Scenario) -> bool:
    """Run the demo of one fleet; return whether every check passed."""
    print(f'\n=== {scenario.fleet}', flush=True)
    with tempfile.TemporaryDirectory() as directory:
        deployment = launcher.Deployment(
            fleet_file=ROOT / 'examples' / f'{scenario.fleet}.json',
            directory=pathlib.Path(directory),
        )
        try:
            deployment.start()
            processes = len(deployment.processes)
            zones = len(deployment.fleet.zones())
            print(f'  {processes} processes in {zones} availability zones')
            Demo(scenario=scenario, deployment=deployment).run()
        except (CheckFailed, launcher.LaunchError) as exc:
            print(f'  FAILED: {exc}', file=sys.stderr)
            stderr_file = pathlib.Path(directory, 'stderr.txt')
            print(stderr_file.read_text(encoding='utf-8'), file=sys.stderr)
            return False
        finally:
            deployment.stop()
    return True


def main() -> int:
    """Run the demo of every fleet; return the exit status."""
    started_at = time.monotonic()
    results = [run_demo(scenario) for scenario in SCENARIOS]
    seconds = time.monotonic() - started_at
    passed = all(results)
    print(
        f'\n{"all checks passed" if passed else "FAILED"}, in {seconds:.1f} s'
    )
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
