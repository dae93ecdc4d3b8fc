"""Decisions and shared types of fulmarward, without input or output.

Each folder is a slice with one duty: its types, its messages, its decisions
(always in a module or package named `decisions`) and its tests.
"""
