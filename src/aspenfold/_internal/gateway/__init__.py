"""An entry's decisions where it calls endpoints itself.

On hosts whose endpoints tell for themselves whether a request ran, no
agent stands between entry and endpoint: an attempt id arrives at one
entry only, and that entry alone decides whether to send it again.
"""
