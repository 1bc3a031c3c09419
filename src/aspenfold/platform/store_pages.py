"""Decodes the store's responses; one that is incomplete is an error.

A page of records may end between two records, by its size limit or with its
connection: reading goes on behind the last one.
"""

import struct
import typing

import pydantic

from aspenfold._internal.gateway import ports

PAGE_HEADER = struct.Struct('>QQ')
"""Starts a page: end offset and oldest kept offset of the partition."""

RECORD_LENGTH = struct.Struct('>I')
"""Precedes each record: its size in bytes."""


class _WireModel(pydantic.BaseModel):
    """Base of the store's messages; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Item(_WireModel):
    key: str
    value: pydantic.Base64Bytes
    offset: int


class NewestPage(_WireModel):
    """A page of the newest records; ``truncated`` if more keys follow."""

    items: list[_Item]
    truncated: bool
    end: int

    def records(self) -> list[ports.Record]:
        """Return the records of the page."""
        return [
            ports.Record(
                offset=item.offset,
                key=item.key,
                value=item.value,
            )
            for item in self.items
        ]


class Appended(_WireModel):
    """The response to an append: the offset of its first record."""

    offset: int


class Conflict(_WireModel):
    """The response to an append elsewhere than at the end of the topic."""

    end: int


class Trimmed(_WireModel):
    """The response to a read of records that are not kept any more."""

    first: int


Message = typing.TypeVar('Message', bound=_WireModel)


def decode_message(model: type[Message], body: bytes) -> Message:
    """Return a message of JSON; raises ports.StoreUnavailable."""
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as exc:
        raise ports.StoreUnavailable(f'invalid response: {exc}') from exc


def decode_page(body: bytes, offset: int) -> ports.Page:
    """Return the records of a page that was read from ``offset`` on.

    The page ends behind its last record.  Raises ports.StoreUnavailable.
    """
    if len(body) < PAGE_HEADER.size:
        raise ports.StoreUnavailable('a page ends inside its header')
    records: list[ports.Record] = []
    position = PAGE_HEADER.size
    while position < len(body):
        content = _record_content(body, position)
        records.append(_decode_record(offset + len(records), content))
        position += RECORD_LENGTH.size + len(content)
    return ports.Page(records=tuple(records), end=offset + len(records))


def _record_content(body: bytes, position: int) -> bytes:
    start = position + RECORD_LENGTH.size
    if start <= len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        if start + length <= len(body):
            return body[start : start + length]
    raise ports.StoreUnavailable('a page ends inside a record')


def _decode_record(offset: int, content: bytes) -> ports.Record:
    """Decode a record: the key's length, the key, and the value.

    An empty value removes the key.
    """
    if not content or len(content) <= content[0]:
        raise ports.StoreUnavailable(f'record {offset} has no whole key')
    length = content[0]
    key = content[1 : 1 + length].decode('utf-8', 'replace')
    value = content[1 + length :]
    return ports.Record(offset=offset, key=key, value=value or None)
