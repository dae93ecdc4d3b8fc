"""The operators' client of fulmarward."""
