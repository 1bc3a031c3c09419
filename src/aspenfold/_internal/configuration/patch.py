"""JSON patches between fleet documents, and their digests."""

import typing

import jsonpatch
import jsonpointer
import orjson
import xxhash

Document = dict[str, typing.Any]


def digest(document: Document) -> str:
    """Return a hexadecimal digest of ``document``, whatever its key order."""
    data = orjson.dumps(document, option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh3_128_hexdigest(data)


def diff(old: Document, new: Document) -> list[dict[str, typing.Any]]:
    """Return the JSON patch that turns ``old`` into ``new``."""
    return list(jsonpatch.make_patch(old, new))


def apply(document: Document, patch: typing.Any) -> Document | None:
    """Return a patched copy of ``document``, or None if that fails."""
    try:
        # The library copies node by node, which takes five times as long
        # for a fleet of 4,600 organisations.
        copied = orjson.loads(orjson.dumps(document))
        result = jsonpatch.JsonPatch(patch).apply(copied, in_place=True)
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ):
        # The library raises any of these for malformed operations.
        return None
    return result if isinstance(result, dict) else None
