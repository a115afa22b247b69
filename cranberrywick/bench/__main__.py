"""Print the tables of the scheduling benchmark: ``python -m cranberrywick.bench``."""

from cranberrywick.bench.command import main

if __name__ == "__main__":
    main()
