"""A demonstration on a deployment like that of the Guild."""
