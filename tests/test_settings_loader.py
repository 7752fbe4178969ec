"""Invalid settings files, which must raise SettingsError."""

import pytest

from tanagerworks.errors import SettingsError
from tanagerworks.settings.loader import SettingsModel, load_settings


class _SampleSettings(SettingsModel):
    port: int
    drain_limit_s: float = 5.0


@pytest.mark.parametrize(
    ("text", "key_path"),
    [
        ("port: x", "port"),
        ("{}", "port"),
        ("port: 1\nportt: 2", "portt"),
        ("port: 1\ndrain_limit_s: soon", "drain_limit_s"),
        ("- 1", ""),
        ("port: [", ""),
    ],
)
def test_bad_file_names_key_path(tmp_path, text, key_path):
    """Guards against a process that starts with an invalid or ignored setting.

    The error gives the file and the path of the invalid key.
    """
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path, _SampleSettings)
    assert caught.value.key_path == key_path
    assert caught.value.file == str(path)


def test_missing_file_is_a_settings_error(tmp_path):
    """Guards against a traceback instead of a clear message for a file that does not exist."""
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "none.yaml", _SampleSettings)
