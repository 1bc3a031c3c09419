"""A caller of a deployment of real processes."""

import concurrent.futures
import dataclasses
import json
import typing

from tests.lib import fleets
import urllib3

from aspenfold_standins import launcher

HEADERS = {'Authorization': f'Bearer {fleets.SECRET}'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got; status 0 when the connection broke."""

    status: int
    outcome: str
    body: bytes
    headers: dict[str, str]

    @property
    def code(self) -> int:
        """The numbered code of an error, 0 for none."""
        return int(self.headers.get('aspenfold-code', '0'))

    def text(self) -> str:
        """Return a stream's text; it must be whole."""
        events = self.body.decode().strip().split('\n\n')
        events = [e for e in events if not e.startswith(':')]
        assert events[-1] == f'id: {len(events) - 1}\ndata: [DONE]', events[-1]
        chunks = [json.loads(e.split('data: ', 1)[1]) for e in events[:-1]]
        return ''.join(c['choices'][0]['text'] for c in chunks)


class DeploymentClient:
    """Sends requests to a deployment's entries, at the same time too."""

    def __init__(self, deployment: launcher.Deployment) -> None:
        self.deployment = deployment
        self._executor = concurrent.futures.ThreadPoolExecutor(16)

    def post(
        self,
        entry: int,
        path: str,
        body: object,
        *,
        key: str = '',
        **headers: str,
    ) -> Answer:
        """Send one request and return its answer."""
        name = self.deployment.entries()[entry]
        url = self.deployment.children[name].url + path
        sent = {**HEADERS, **headers}
        if key:
            sent['Idempotency-Key'] = key
        try:
            answer = self.deployment.call('POST', url, body, sent)
        except urllib3.exceptions.HTTPError:
            return Answer(status=0, outcome='', body=b'', headers={})
        lower = {k.lower(): v for k, v in answer.headers.items()}
        return Answer(
            status=answer.status,
            outcome=lower.get('aspenfold-outcome', ''),
            body=answer.data,
            headers=lower,
        )

    def job(
        self, entry: int, key: str, number: int = 1, **headers: str
    ) -> Answer:
        """Ask for a call that must not be repeated."""
        body = {'job': number}
        return self.post(entry, '/services/till/job', body, key=key, **headers)

    def ping(self, entry: int) -> Answer:
        """Send an interactive call."""
        return self.post(entry, '/services/till/ping', {})

    def stream(self, entry: int, prompt: str, tokens: int) -> Answer:
        """Stream a generation."""
        return self.post(
            entry,
            '/v1/completions',
            {
                'model': 'llm',
                'prompt': prompt,
                'max_tokens': tokens,
                'stream': True,
            },
        )

    def later(
        self, call: typing.Callable[..., Answer], *arguments: object
    ) -> concurrent.futures.Future[Answer]:
        """Run a call in the background."""
        return self._executor.submit(call, *arguments)

    def runs(self, operation: str) -> list[dict[str, typing.Any]]:
        """Return all executions of a plain operation."""
        return [
            run
            for name in self.deployment.children
            if name.startswith('plain-')
            for run in self.deployment.record(name)['runs']
            if run['operation'] == operation
        ]
