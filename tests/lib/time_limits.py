"""Ends work that takes too long, even inside a regular expression."""

from collections import abc
import contextlib
import signal
import types


@contextlib.contextmanager
def cpu_limit(seconds: float) -> abc.Iterator[None]:
    """Raise TimeoutError in the block after so much processor time.

    Only in the main thread; the load of the machine doesn't count.
    """

    def stop(number: int, frame: types.FrameType | None) -> None:
        raise TimeoutError(f'more than {seconds} s of processor time')

    previous = signal.signal(signal.SIGVTALRM, stop)
    signal.setitimer(signal.ITIMER_VIRTUAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, previous)
