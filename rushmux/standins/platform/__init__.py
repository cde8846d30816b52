"""Stand-ins for the platform on loopback: storage nodes, discovery, clients, and a configuration.

A script, a function that returns steps, defines how a node or discovery responds to a request.
"""

from rushmux.standins.platform.client import FakeClient
from rushmux.standins.platform.configuration import configuration, settings
from rushmux.standins.platform.discovery import FakeDiscovery
from rushmux.standins.platform.messages import option_of, read_command, success_reply, write_command
from rushmux.standins.platform.node import FakeNode
from rushmux.standins.platform.polling import wait_until

__all__ = [
    "FakeClient",
    "FakeDiscovery",
    "FakeNode",
    "configuration",
    "option_of",
    "read_command",
    "settings",
    "success_reply",
    "wait_until",
    "write_command",
]
