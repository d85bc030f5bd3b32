"""`python -m oakvale`."""

from oakvale.cli import main

if __name__ == "__main__":
    main()
