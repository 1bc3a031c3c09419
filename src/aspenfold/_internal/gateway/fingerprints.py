"""Fingerprints: what a request has in common with others.

A part of its prompt is one, and so is the whole request: its caller, method,
host, path and body, or the parts of its prompt if there is no body.  The whole
request has another one for what happens once its answer was written for long.
Only digests leave this module.
"""

import functools
import typing

from aspenfold._internal.gateway import digests
from aspenfold._internal.gateway import forwarding
from aspenfold._internal.gateway import prompt_parts
from aspenfold._internal.network import http1_server

Fingerprint = typing.NewType('Fingerprint', str)
"""The kind, one character, and the digest."""

PART_KIND = 'p'
REQUEST_KIND = 'r'
LATE_REQUEST_KIND = 'l'


def of_part(part: str) -> Fingerprint:
    """Return the fingerprint of a prompt's part with this digest."""
    return Fingerprint(PART_KIND + part)


def is_request(fingerprint: Fingerprint) -> bool:
    """Return whether it is the fingerprint of whole requests."""
    return fingerprint.startswith((REQUEST_KIND, LATE_REQUEST_KIND))


class RequestFingerprints:
    """The fingerprints of one request; ``parts`` are those of its prompt.

    It is sent in spite of the quarantine of ``trials``.
    """

    def __init__(
        self,
        *,
        request: http1_server.Request,
        organisation: str,
        parts: prompt_parts.PromptParts,
    ) -> None:
        self._request = request
        self._organisation = organisation
        self._prompt = parts
        self.trials: frozenset[Fingerprint] = frozenset()
        self.parts = tuple(of_part(part) for part in parts.shared)

    @functools.cached_property
    def whole(self) -> Fingerprint:
        """The fingerprint of the whole request."""
        request = self._request
        prompt = (*self._prompt.shared, self._prompt.own)
        value = digests.create()
        fields = (
            self._organisation.encode(),
            request.method,
            forwarding.host_name(request).encode(),
            request.target,
            request.body or ','.join(prompt).encode(),
        )
        for field in fields:
            value.update(b'%d:' % len(field))
            value.update(field)
        return Fingerprint(REQUEST_KIND + digests.encode(value))

    @property
    def late(self) -> Fingerprint:
        """The fingerprint of the whole request, late in its answer."""
        digest = self.whole.removeprefix(REQUEST_KIND)
        return Fingerprint(LATE_REQUEST_KIND + digest)

    def early(self) -> tuple[Fingerprint, ...]:
        """Return all fingerprints but the late one."""
        return (self.whole, *self.parts)

    def all(self) -> tuple[Fingerprint, ...]:
        """Return all fingerprints, that of the whole request first."""
        return (*self.early(), self.late)
