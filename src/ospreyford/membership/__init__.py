"""Who is live, suspected, leaving or dead: SWIM with incarnations."""
