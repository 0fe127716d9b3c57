"""Run the program with ``python -m laburnumyard``."""

from laburnumyard.cli import main

if __name__ == '__main__':
    main()
