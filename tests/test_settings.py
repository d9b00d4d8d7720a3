"""Settings of an entry: all faults are reported at once."""

import pytest

from gorsefall import errors
from gorsefall import settings

FAULTY = """
[entry]
name = "e"
zone = "az1"
listen = "nowhere"
log_service = "127.0.0.1:1"
entries = 0

[[backends]]
name = "b"
kind = "robot"
pool = "llm"
zone = "az1"
addr = "127.0.0.1:2"

[[backends]]
name = "b"
kind = "engine"
pool = "llm"
zone = "az1"
addr = "elsewhere"
"""


def test_all_faults_are_reported_at_once():
    """Validation must not stop at the first fault.

    Otherwise an operator corrects one line at a time, with a start for each.
    """
    with pytest.raises(errors.SettingsError) as info:
        settings.loads(FAULTY, 'x.toml')
    for named in ('x.toml', 'entry.entries', 'entry.listen', 'nowhere',
                  'backends[0].kind', 'backends[1].name', 'backends[1].addr'):
        assert named in str(info.value), str(info.value)
