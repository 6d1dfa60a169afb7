"""Translates between the platform's manner of speaking and our own types.

Names, formats and calls only: nothing here decides, and nothing outside this
package knows the platform's names.
"""
