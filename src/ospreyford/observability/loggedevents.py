"""All events that have a line; for type checks only.

A program would otherwise import the events of all others at its start.
"""

from __future__ import annotations

from ospreyford.direct.colddecisions import ColdDecision
from ospreyford.direct.crashdecisions import CrashDecision
from ospreyford.direct.decisions import Decision as EntryDecision
from ospreyford.direct.declarationdecisions import DeclarationDecision
from ospreyford.direct.limitdecisions import LimitDecision
from ospreyford.direct.restoredecisions import RestoreDecision
from ospreyford.direct.retrydecisions import RetryDecision
from ospreyford.direct.roomdecisions import RoomDecision
from ospreyford.direct.zonedecisions import ZoneDecision
from ospreyford.observability.events import (
    BackendEjected,
    BackendReturned,
    ConfigurationInForce,
    DocumentRejected,
    Draining,
    ExpertMapInForce,
    GroupHalted,
    LinesDropped,
    MemberChanged,
    NotReady,
    PauseNoticed,
    Ready,
    Started,
    Stopped,
)
from ospreyford.observability.loopwatch import LoopDelayed
from ospreyford.observability.signals import SignalReceived
from ospreyford.observability.supervision import TaskFailed
from ospreyford.rebalance.decisions import Decision as AgentDecision
from ospreyford.security.events import SecretRefused, SecretsReplaced
from ospreyford.settings.events import SettingsChange

#: Every change that has a line; a package adds its own here.
StateChange = (
    Started
    | Ready
    | NotReady
    | Draining
    | Stopped
    | ConfigurationInForce
    | DocumentRejected
    | BackendEjected
    | BackendReturned
    | MemberChanged
    | ExpertMapInForce
    | GroupHalted
    | PauseNoticed
    | LinesDropped
    | SecretsReplaced
    | SecretRefused
)

#: Everything that has a line: changes, and decisions about single requests.
LoggedEvent = (
    StateChange
    | SettingsChange
    | EntryDecision
    | RestoreDecision
    | CrashDecision
    | DeclarationDecision
    | LimitDecision
    | ColdDecision
    | RetryDecision
    | RoomDecision
    | ZoneDecision
    | AgentDecision
    | TaskFailed
    | SignalReceived
    | LoopDelayed
)
