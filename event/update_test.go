package event_test

import "flag"

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")
