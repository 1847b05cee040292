"""Small models at the interfaces, and the tables and plots of their runs."""
