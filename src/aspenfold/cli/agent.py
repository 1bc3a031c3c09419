"""``aspenfold-agent SETTINGS``: runs next to one endpoint."""

from aspenfold._internal.commands import serve
from aspenfold._internal.models import settings
from aspenfold._internal.processes import agent


def main() -> None:
    """Run the program."""
    serve.main('aspenfold-agent', settings.AgentSettings, agent.run)
