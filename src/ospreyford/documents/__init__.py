"""Published documents: schema, selectors, conflicts, the resolved picture.

Start at :mod:`ospreyford.documents.picture` for what the other packages
ask, at :mod:`ospreyford.documents.resolver` for how it is kept current.
"""
