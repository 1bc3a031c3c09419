"""The agent's record of attempts, so that each runs at most once."""
