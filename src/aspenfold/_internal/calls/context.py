"""What a call's flow needs of the entry around it."""

import datetime
import typing

from aspenfold._internal.calls import call as call_module
from aspenfold._internal.claims import table as claim_table
from aspenfold._internal.membership import endpoint as endpoint_module


class CallContext(typing.Protocol):
    """The entry kernel as its flows see it."""

    system_key: str

    @property
    def log_up(self) -> bool:
        """Whether the log service answered lately."""

    def claims(self, scoped_key: str) -> claim_table.ClaimTable:
        """Return the fold of the stream that decides the key."""

    def claim_stream(self, scoped_key: str) -> str:
        """Return the name of that stream."""

    def choose(
        self, call: call_module.Call, avoid: str, now: datetime.datetime
    ) -> endpoint_module.Endpoint | None:
        """Return an endpoint for the call, not ``avoid`` if possible."""

    def endpoint(self, name: str) -> endpoint_module.Endpoint | None:
        """Return what is known of an endpoint."""

    def new_id(self) -> str:
        """Return a unique attempt id."""

    def new_stream_id(self, call_id: str) -> int:
        """Return the number of a new leg of the call."""

    def retry_wait(
        self, call: call_module.Call, attempt: int
    ) -> datetime.timedelta | None:
        """Return the wait before a retry, None if the budget is spent."""

    def on_complete_answer(
        self, call: call_module.Call, endpoint: str, now: datetime.datetime
    ) -> None:
        """Note a whole answer."""
