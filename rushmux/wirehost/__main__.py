"""Runs the adapter on standard input and output."""

import sys

from rushmux.wirehost.host import Host, MalformedInputError

if __name__ == "__main__":
    try:
        Host().serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInputError as error:
        print(f"rushmux.wirehost: {error}", file=sys.stderr)
        sys.exit(2)
