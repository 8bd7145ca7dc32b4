"""A deployment to look at, shaped like the Guild's."""
