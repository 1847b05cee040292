"""Distribution of published documents to every process."""
