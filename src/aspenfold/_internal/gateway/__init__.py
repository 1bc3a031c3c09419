"""The gateway: routes requests of callers directly to endpoints.

It is used on hosts whose endpoints report whether a request ran, so no
agent is needed between gateway and endpoint.  Each attempt id of a caller
arrives at one gateway only, which alone decides whether to send the
request again.
"""
