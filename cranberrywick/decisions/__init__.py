"""Scheduling decisions as pure logic, without network access, clocks or threads."""
