"""Tests of kingcuptrack."""
