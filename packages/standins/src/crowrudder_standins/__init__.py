"""Stand-ins for the platform, the origin, engines and plain services.

Only tests, measurements and the demo start them; the product never imports
this package.
"""
