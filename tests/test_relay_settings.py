"""Settings of a relay entry: every error names its field."""

import pytest

from gorsefall import cmdline
from gorsefall import errors
from gorsefall.relay import pacing
from gorsefall.relay import settings

VALID = """
name = "entry-1"
zone = "z1"
callers = "10.0.0.1:8000"
readiness = "10.0.0.1:8001"
store = "10.0.0.9:8002"
"""


def test_valid_settings_get_the_defaults():
    cfg = settings.loads(VALID)
    assert (cfg.revoke_s, cfg.grace_s, cfg.metrics_port) == (5.0, 8.0, 9464)
    assert cfg.retries.window_s == 10.0


@pytest.mark.parametrize(('change', 'named'), [
    (('zone = "z1"', ''), 'zone'),
    (('zone = "z1"', 'zone = ""'), 'zone'),
    (('10.0.0.9:8002', 'nowhere'), 'store'),
    (('name = "entry-1"', 'name = 3'), 'name'),
    (('name = "entry-1"', 'name = "entry-1"\nfloat = 1'), 'float'),
    (('zone = "z1"', 'zone = "z1"\nrevoke_s = 0'), 'revoke_s'),
    (('zone = "z1"', 'zone = "z1"\nleave_s = -1'), 'leave_s'),
    (('zone = "z1"', 'zone = "z1"\nmemory_mb = 0'), 'memory_mb'),
    (('zone = "z1"', 'zone = "z1"\nfile_fds = -1'), 'file_fds'),
    (('zone = "z1"', 'zone = "z1"\nmax_fds = 200\nfile_fds = 200'), 'file_fds'),
    (('zone = "z1"', 'zone = '), 'TOML'),
    (('zone = "z1"', 'zone = "z1"\nmetrics_port = 70000'), 'metrics_port'),
    (('zone = "z1"', 'zone = "z1"\nduties = { names = "usage" }'),
     'duties.address'),
    (('zone = "z1"', 'zone = "z1"\nduties = { names = "usage", '
      'address = "10.0.0.8:1", lease_s = 0 }'), 'duties.lease_s'),
    (('zone = "z1"', 'zone = "z1"\nduties = { names = "usage", '
      'address = "10.0.0.8:1", autoscaling = { burst = 0.5 } }'),
     'duties.autoscaling.burst'),
    (('zone = "z1"', 'zone = "z1"\nduties = { names = "usage", '
      'address = "10.0.0.8:1", autoscaling = { utilisation = 1.5 } }'),
     'duties.autoscaling.utilisation'),
])
def test_an_error_names_its_field(change, named):
    """An entry must not start with incomplete or invalid settings."""
    with pytest.raises(errors.SettingsError) as info:
        settings.loads(VALID.replace(*change), 'x.toml')
    assert named.lower() in str(info.value).lower()
    assert 'x.toml' in str(info.value)


@pytest.mark.parametrize(('leave_s', 'pause_s'), [(2.0, 0.7), (3.0, 1.2),
                                                  (0.5, 0.2)])
def test_leave_s_sets_how_often_replicas_are_read(leave_s, pause_s):
    """Reading the replicas more often than ``leave_s`` requires is costly.

    With a fixed pause of 1.4 s, the calls to the store cost 80 entries a third
    of what they earn.
    """
    cfg = settings.loads(f'{VALID}leave_s = {leave_s}')
    assert pacing.replicas_pause_s(cfg) == pytest.approx(pause_s)


def test_all_errors_are_reported_at_once():
    text = VALID.replace('8000', 'x').replace('8001', 'y')
    with pytest.raises(errors.SettingsError) as info:
        settings.loads(text)
    assert 'callers' in str(info.value) and 'readiness' in str(info.value)


def test_the_command_checks_a_file(tmp_path, capsys):
    path = tmp_path / 'relay.toml'
    path.write_text(VALID)
    assert cmdline.main(['check-settings', '--relay', str(path)]) == 0
    path.write_text(VALID.replace('"z1"', '""'))
    assert cmdline.main(['check-settings', '--relay', str(path)]) == 2
    assert 'zone: must not be empty' in capsys.readouterr().err
