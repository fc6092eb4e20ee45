"""Settings of the daemons, read from JSON files."""

from __future__ import annotations

from verbenastream.process.settings.loading import load
from verbenastream.process.settings.loading import SettingsFileError
from verbenastream.process.settings.schema import Address
from verbenastream.process.settings.schema import ControlSettings
from verbenastream.process.settings.schema import ControlTimings
from verbenastream.process.settings.schema import Deployment
from verbenastream.process.settings.schema import EntrySettings
from verbenastream.process.settings.schema import EntryTimings
from verbenastream.process.settings.schema import Listener
from verbenastream.process.settings.schema import LogFormat
from verbenastream.process.settings.schema import Logging
from verbenastream.process.settings.schema import LogLevel
from verbenastream.process.settings.schema import Peer
from verbenastream.process.settings.schema import Port
from verbenastream.process.settings.schema import Team
from verbenastream.process.settings.schema import Tls
from verbenastream.process.settings.schema import TlsFiles
from verbenastream.process.settings.schema import TlsOff
from verbenastream.process.settings.schema import Weights

__all__ = [
    'Address',
    'ControlSettings',
    'ControlTimings',
    'Deployment',
    'EntrySettings',
    'EntryTimings',
    'Listener',
    'LogFormat',
    'LogLevel',
    'Logging',
    'Peer',
    'Port',
    'SettingsFileError',
    'Team',
    'Tls',
    'TlsFiles',
    'TlsOff',
    'Weights',
    'load',
]
