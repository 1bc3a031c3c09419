"""Fingerprints of requests that tests make up."""

from aspenfold._internal.gateway import fingerprints
from aspenfold._internal.gateway import prompt_parts
from aspenfold._internal.kernel import clock
from aspenfold._internal.network import http1_server


def request(
    *parts: str, body: bytes = b'', organisation: str = 'one'
) -> fingerprints.RequestFingerprints:
    """Return the fingerprints of a request with these shared parts."""
    sample = http1_server.Request(
        method=b'POST',
        target=b'/',
        headers=[],
        body=body,
        received_at=clock.EPOCH,
        connection_reused=False,
    )
    return fingerprints.RequestFingerprints(
        request=sample,
        organisation=organisation,
        parts=prompt_parts.PromptParts(shared=parts),
    )
