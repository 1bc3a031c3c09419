"""Error for a server that cannot listen on its configured address."""

import os

from aspenfold._internal import exceptions


def port_unavailable(
    *, where: str, field: str, exc: Exception
) -> exceptions.SettingsError:
    """Return the error for address ``where`` in the setting ``field``."""
    reason = str(exc)
    if isinstance(exc, OSError) and exc.errno:
        reason = os.strerror(exc.errno)
    return exceptions.SettingsError(
        exceptions.Failure(
            code=exceptions.Code.PORT_UNAVAILABLE,
            detail=f'cannot listen on {where}: {reason}',
            field=field,
            remedy='choose a free port, or 0 for any',
        )
    )
