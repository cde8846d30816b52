"""The command line as `python -m rushmux`."""

from rushmux.cli.main import main

if __name__ == "__main__":
    main()
