"""A model-aware router for versions and cascades of language models.

One package, a folder a layer; see docs/DESIGN.md for how they fit.
"""
