"""An endpoint as a process of its own, which a case can kill.

It answers each request with a stream of events in chunks, but each
``unframed_nth`` one has neither a length nor chunks and ends with its
connection.  It writes one line to standard output for each event and each end.
"""

import asyncio
import sys
import time
from collections import abc

from standins_2 import endpoint
from standins_2 import http


def report(*fields: object) -> None:
    """Write what has happened, for the record of the case."""
    print(f'{time.monotonic():.6f}', *fields, flush=True)


class Process:
    """Serves streams of ``events`` events; ``unframed_nth`` is 0 for never."""

    def __init__(
        self, name: str, events: int, interval_s: float, unframed_nth: int
    ) -> None:
        self._name = name
        self._unframed_nth = unframed_nth
        self._answers = 0
        self._events = events
        self._interval_s = interval_s

    async def handle(
        self, request: http.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request and close its connection."""
        if request.header(endpoint.EXPECTED) not in ('', self._name):
            headers = [('X-Aspenfold-Instance-Id', self._name)]
            writer.write(http.encode_response(421, headers, b''))
            return True
        attempt_id = request.header(endpoint.ATTEMPT_ID)
        first = int(request.header('Last-Event-Id') or 0) + 1
        self._answers += 1
        is_unframed = (
            self._unframed_nth > 0 and self._answers % self._unframed_nth == 0
        )
        report('unframed' if is_unframed else 'begins', attempt_id)
        headers = [
            (endpoint.ATTEMPT_ID, attempt_id),
            (endpoint.SEAL, endpoint.seal(attempt_id, self._name)),
            ('X-Aspenfold-Instance-Id', self._name),
            ('Content-Type', 'text/event-stream'),
            ('Connection', 'close'),
        ]
        if not is_unframed:
            headers.append(('Transfer-Encoding', 'chunked'))
        writer.write(http.encode('HTTP/1.1 200 OK', headers))
        for event in self._content(attempt_id, first):
            await asyncio.sleep(self._interval_s)
            if writer.transport.is_closing():
                report('lost', attempt_id)
                return False
            if not is_unframed:
                event = b'%x\r\n%b\r\n' % (len(event), event)
            writer.write(event)
            await writer.drain()
            report('event', attempt_id)
        if not is_unframed:
            writer.write(b'0\r\n\r\n')
        report('ends', attempt_id)
        return False

    def _content(self, attempt_id: str, first: int) -> abc.Iterator[bytes]:
        for number in range(first, self._events + 1):
            yield f'id: {number}\ndata: {attempt_id}\n\n'.encode()


async def main() -> None:
    """Serve until the process is killed."""
    name, host, port, events, interval_s, unframed_nth = sys.argv[1:]
    process = Process(name, int(events), float(interval_s), int(unframed_nth))
    server = http.Server(process.handle)
    await server.start(host, int(port))
    report('listens')
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main())
