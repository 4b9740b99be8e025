"""The operators' command-line tool, a thin client of an entry daemon."""
