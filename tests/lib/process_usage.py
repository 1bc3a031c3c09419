"""What a process takes of its host, as the system counts it."""

import pathlib

BYTES_PER_KB = 1_024
"""Linux calls 1,024 bytes a kB."""


def peak_memory(pid: int) -> int:
    """Return the most memory that a process has had, in bytes."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    fields = dict(line.split(':', 1) for line in status.splitlines())
    return int(fields['VmHWM'].split()[0]) * BYTES_PER_KB


def open_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
