"""Check that a process's modules are not collected again and again."""

import subprocess
import sys

# Objects that a full collection goes through after the start of a role; it
# takes some 0.5 microseconds for each on a fast core.
MAX_OBJECTS = 2000
_SCRIPT = """
import gc
from jasminewheel._internal.garbage import exempt_from_collection
with exempt_from_collection():
    assert not gc.isenabled()
    import jasminewheel.platform.{role}
assert gc.isenabled()
print(len(gc.get_objects()), gc.get_freeze_count())
"""


def test_collections_leave_out_the_modules_of_a_role():
    """All that the imports made is exempt, and collection goes on."""
    ran = subprocess.run(
        (sys.executable, '-c', _SCRIPT.format(role='entry')),
        capture_output=True,
        text=True,
        check=True,
    )
    collected, exempt = map(int, ran.stdout.split())
    assert collected < MAX_OBJECTS
    assert exempt > MAX_OBJECTS
