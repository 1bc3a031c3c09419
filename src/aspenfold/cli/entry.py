"""``aspenfold-entry SETTINGS``: serves callers on an entry host."""

from aspenfold._internal.commands import serve
from aspenfold._internal.models import settings
from aspenfold._internal.processes import entry


def main() -> None:
    """Run the command line."""
    serve.main('aspenfold-entry', settings.EntrySettings, entry.run)
