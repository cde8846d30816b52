"""`python -m rushmux`: the command line."""

from rushmux.cli.main import main

if __name__ == "__main__":
    main()
