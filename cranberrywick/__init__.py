"""A serving layer for language-model prompts whose lengths differ widely."""

__version__ = "0.1.0"
