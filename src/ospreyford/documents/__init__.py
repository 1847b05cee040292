"""Published documents: schema, selectors, conflicts, resolved snapshot."""
