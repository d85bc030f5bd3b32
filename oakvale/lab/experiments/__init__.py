"""Trials: variants of the code on days with seeds, what that changed and how sure it is, and days drawn until a rule
breaks and cut down to what breaks it. What decides (statistics, shrinking) does no I/O and plays nothing. Begin with
`spec`.
"""
