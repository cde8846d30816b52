"""Runs a gateway until SIGTERM, with the configuration file named by `NODE_CONFIG`."""

import asyncio
import os
import signal
import sys

from rushmux.gateway.process import serve

if __name__ == "__main__":
    # By default, a SIGHUP before the loop's handler is installed would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(asyncio.run(serve(os.environ.get("NODE_CONFIG", ""))))
