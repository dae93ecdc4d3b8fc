"""Command line client of fulmarward for operators."""
