"""Customer rate limits, their sharing between entries, and the fair queue."""
