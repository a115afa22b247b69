"""Run the command line with ``python -m cranberrywick``."""

from cranberrywick.cli.main import main

if __name__ == "__main__":
    main()
