"""The operators' command-line tool, a thin client of any entry daemon."""
