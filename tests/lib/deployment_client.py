"""An HTTP client for a deployment of real processes."""

import concurrent.futures
import dataclasses
import json
import typing

from tests.lib import fleets
import urllib3

from aspenfold_standins import launcher

HEADERS = {'Authorization': f'Bearer {fleets.SECRET}'}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """A response; its status is 0 if the connection broke."""

    status: int
    outcome: str
    body: bytes
    headers: dict[str, str]

    @property
    def code(self) -> int:
        """The result code of an error, 0 for none."""
        return int(self.headers.get('aspenfold-code', '0'))

    def text(self) -> str:
        """Return the text of a stream, which must be complete."""
        events = self.body.decode().strip().split('\n\n')
        events = [e for e in events if not e.startswith(':')]
        assert events[-1] == f'id: {len(events) - 1}\ndata: [DONE]', events[-1]
        chunks = [json.loads(e.split('data: ', 1)[1]) for e in events[:-1]]
        return ''.join(c['choices'][0]['text'] for c in chunks)


class DeploymentClient:
    """Sends requests to a deployment's entries, also concurrently."""

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
    ) -> Response:
        """Send a request to entry number ``entry``; return the response."""
        name = self.deployment.entry_names()[entry]
        url = self.deployment.processes[name].url + path
        sent_headers = {**HEADERS, **headers}
        if key:
            sent_headers['Idempotency-Key'] = key
        try:
            response = self.deployment.request('POST', url, body, sent_headers)
        except urllib3.exceptions.HTTPError:
            return Response(status=0, outcome='', body=b'', headers={})
        response_headers = {k.lower(): v for k, v in response.headers.items()}
        return Response(
            status=response.status,
            outcome=response_headers.get('aspenfold-outcome', ''),
            body=response.data,
            headers=response_headers,
        )

    def job(
        self, entry: int, key: str, number: int = 1, **headers: str
    ) -> Response:
        """Send a request that must run at most once."""
        body = {'job': number}
        return self.post(entry, '/services/till/job', body, key=key, **headers)

    def ping(self, entry: int) -> Response:
        """Send an interactive request."""
        return self.post(entry, '/services/till/ping', {})

    def stream(self, entry: int, prompt: str, tokens: int) -> Response:
        """Request a completion as a stream of tokens."""
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

    def submit(
        self, call: typing.Callable[..., Response], *arguments: object
    ) -> concurrent.futures.Future[Response]:
        """Run ``call(*arguments)`` in a thread."""
        return self._executor.submit(call, *arguments)

    def executions(self, operation: str) -> list[dict[str, typing.Any]]:
        """Return all executions of an operation by plain workers."""
        return [
            run
            for name in self.deployment.processes
            if name.startswith('plain-')
            for run in self.deployment.fetch_record(name)['runs']
            if run['operation'] == operation
        ]
