"""The agent's record of attempts: the last gate before an endpoint."""
