"""Keep garbage collection away from what lives as long as the process."""

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def exempt_from_collection() -> Iterator[None]:
    """Collect nothing meanwhile, and never look at what was made again.

    Imports leave little garbage, and a collection of all generations would
    otherwise go through all modules each time, while callers wait.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
