"""Runs one gateway on the platform until SIGTERM; `NODE_CONFIG` names its configuration file."""

import asyncio
import os
import signal
import sys

from rushmux.gateway.process import serve

if __name__ == "__main__":
    # A signal before the loop runs would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(asyncio.run(serve(os.environ.get("NODE_CONFIG", ""))))
