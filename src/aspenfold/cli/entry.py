"""``aspenfold-entry SETTINGS``: routes callers' requests on an entry host."""

from aspenfold._internal.commands import serve
from aspenfold._internal.models import settings
from aspenfold._internal.processes import entry


def main() -> None:
    """Run the program."""
    serve.main('aspenfold-entry', settings.EntrySettings, entry.run)
