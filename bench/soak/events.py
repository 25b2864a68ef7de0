"""A reader of event streams after the HTML standard's "server-sent events", and of bodies in chunks."""


class EventReader:
    """Reads the bytes of a stream. `events` holds (id, data) of each event that the standard dispatches."""

    def __init__(self):
        self.events = []
        self.last_id = b""
        self.data = []
        self.pending = b""
        self.is_at_start = True
        self.has_fields = False

    def feed(self, content):
        self.pending += content
        if self.is_at_start and len(self.pending) >= 3:
            self.pending = self.pending.removeprefix(b"\xef\xbb\xbf")
            self.is_at_start = False
        while True:
            ends = [at for at in (self.pending.find(b"\n"), self.pending.find(b"\r")) if at >= 0]
            if not ends:
                return
            at = min(ends)
            length = 1
            if self.pending[at:at + 1] == b"\r":
                if at + 1 == len(self.pending):
                    return  # A line feed may follow.
                length = 2 if self.pending[at + 1:at + 2] == b"\n" else 1
            line, self.pending = self.pending[:at], self.pending[at + length:]
            self.take_line(line)

    def take_line(self, line):
        if not line:
            if self.data:
                self.events.append((self.last_id, b"\n".join(self.data)))
            self.data = []
            self.has_fields = False
            return
        self.has_fields = True
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self.data.append(value)
        elif name == b"id" and b"\0" not in value:
            self.last_id = value

    def is_between_events(self):
        return not self.pending and not self.has_fields


def read_events(content):
    reader = EventReader()
    reader.feed(content)
    return reader


def read_chunks(wire):
    """Returns the body up to the first bytes that aren't chunks, and whether its proper end was there."""
    body = b""
    while True:
        line, separator, rest = wire.partition(b"\r\n")
        try:
            size = int(line.split(b";")[0], 16) if separator else -1
        except ValueError:
            size = -1
        if size < 0:
            return body, False
        if size == 0:
            return body, rest.startswith(b"\r\n")
        body += rest[:size]
        if rest[size:size + 2] != b"\r\n":
            return body, False
        wire = rest[size + 2:]


def looks_sound(wire, truth, first):
    """Whether spoilt chunks of a stream can't be told from a sound stream by their events.

    truth maps the numbers of the events to their data; the stream begins with the event `first`.
    """
    body, is_complete = read_chunks(wire)
    reader = read_events(body)
    expected = first
    for name, data in reader.events:
        try:
            number = int(name)
        except ValueError:
            return False
        if number != expected:
            return False
        if truth.get(number) != data:
            return True
        expected += 1
    return is_complete and reader.is_between_events() and expected <= max(truth)
