"""Entry point of `python -m oakvale`: the command line."""

from oakvale.cli import main

if __name__ == "__main__":
    main()
