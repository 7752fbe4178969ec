"""Loads a YAML settings file into a pydantic model."""

from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, ValidationError

from tanagerworks.errors import SettingsError


class SettingsModel(BaseModel):
    """Base of all settings models: unknown keys are errors and values are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


ModelT = TypeVar("ModelT", bound=BaseModel)


def load_settings(path: str | Path, model: type[ModelT]) -> ModelT:
    """Returns the validated settings in the YAML file at `path`.

    Raises:
        SettingsError: the file cannot be read, is not YAML or does not match the model. Only the
            first invalid key is reported.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), "", f"cannot be read: {error}") from error
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(str(path), "", f"is not valid YAML: {error}") from error
    if not isinstance(document, dict):
        raise SettingsError(str(path), "", "must be a mapping of settings")
    try:
        return model.model_validate(document)
    except ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        key_path = ".".join(str(part) for part in first["loc"])
        raise SettingsError(str(path), key_path, first["msg"]) from error
