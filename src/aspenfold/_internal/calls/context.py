"""The interface of the entry kernel that a call's flow uses."""

import datetime
import typing

from aspenfold._internal.calls import call as call_module
from aspenfold._internal.claims import table as claim_table
from aspenfold._internal.membership import endpoint as endpoint_module


class CallContext(typing.Protocol):
    """What a call's flow reads from and reports to its entry."""

    system_key: str

    @property
    def log_up(self) -> bool:
        """Whether the last request to the log service succeeded."""

    def claims(self, scoped_key: str) -> claim_table.ClaimTable:
        """Return the claim table that decides the key."""

    def claim_stream(self, scoped_key: str) -> str:
        """Return the name of the claim stream that decides the key."""

    def choose_endpoint(
        self, call: call_module.Call, avoid: str, now: datetime.datetime
    ) -> endpoint_module.Endpoint | None:
        """Return an endpoint for the call, or None.

        ``avoid`` is chosen only if there is no other.
        """

    def endpoint(self, name: str) -> endpoint_module.Endpoint | None:
        """Return the endpoint called ``name``, or None."""

    def new_id(self) -> str:
        """Return a unique attempt id."""

    def new_stream_id(self, call_id: str) -> int:
        """Return the number of a new answer stream for the call."""

    def retry_delay(
        self, call: call_module.Call, attempt: int
    ) -> datetime.timedelta | None:
        """Return the delay before a retry, or None if none is allowed."""

    def on_complete_answer(
        self, call: call_module.Call, endpoint: str, now: datetime.datetime
    ) -> None:
        """Record that ``endpoint`` answered the call completely."""
