"""Small models at the interfaces, and the tables of their runs."""
