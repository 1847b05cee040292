"""Published documents: schema, selectors, conflicts, the resolved snapshot.

Start at :mod:`ospreyford.documents.snapshot` for what the other packages
ask, at :mod:`ospreyford.documents.resolver` for how it is kept current.
"""
