"""Fleet node shared by entries and agents."""
