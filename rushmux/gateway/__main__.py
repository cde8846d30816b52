"""Runs one gateway until SIGTERM; the environment variable `NODE_CONFIG` names its configuration file."""

import asyncio
import os
import signal
import sys

from rushmux.gateway.process import serve

if __name__ == "__main__":
    # The default action of SIGHUP would end the process before the event loop installs its handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(asyncio.run(serve(os.environ.get("NODE_CONFIG", ""))))
