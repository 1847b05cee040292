"""The programs' main functions and the operators' command line."""
