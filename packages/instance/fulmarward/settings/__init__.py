"""The settings of an instance: one JSON file, validated as a whole at startup."""

from fulmarward.settings._load import load_settings, parse_settings, show_settings
from fulmarward.settings._secrets import Secrets, load_secrets
from fulmarward.settings._types import InstanceSettings, Limits, TlsFiles

__all__ = [
    "InstanceSettings",
    "Limits",
    "Secrets",
    "TlsFiles",
    "load_secrets",
    "load_settings",
    "parse_settings",
    "show_settings",
]
