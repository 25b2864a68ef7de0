"""A model engine whose streams have a few events each, but for every so many, which goes on without end.

Usage: stream_engine.py ADDRESS --store ADDRESS --id ID --backend NAME [--endless-every N]
"""
import argparse
import asyncio
import signal

from standins import Engine, address, header, read_body, read_head

EVENTS, EVENT_INTERVAL_S = 26, 0.01
EVENTS_PER_WRITE = 8000


class StreamEngine(Engine):
    def __init__(self, options):
        super().__init__(options)
        self.answers = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await read_body(reader, head[1])
                request_id = header(head[1], "x-jasminestack-attempt-id")
                if header(head[1], "x-jasminestack-expect-instance") != self.options.id:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.answers += 1
                writer.write((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                              f"X-Jasminestack-Attempt-Id: {request_id}\r\n"
                              f"X-Jasminestack-Server-Signature: s.{request_id}\r\n\r\n").encode())
                if self.options.endless_every and self.answers % self.options.endless_every == 0:
                    self.log("endless answer", id=request_id)
                    await self.send_events_without_end(writer)
                for number in range(1, EVENTS + 1):
                    self.send_chunk(writer, b"id: %d\ndata: some tokens\n\n" % number)
                    await writer.drain()
                    await asyncio.sleep(EVENT_INTERVAL_S)
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    @staticmethod
    def send_chunk(writer, content):
        writer.write(b"%x\r\n%s\r\n" % (len(content), content))

    async def send_events_without_end(self, writer):
        number = 1
        while True:
            events = range(number, number + EVENTS_PER_WRITE)
            self.send_chunk(writer, b"".join(b"id: %d\ndata: a\n\n" % event for event in events))
            number += EVENTS_PER_WRITE
            await writer.drain()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("address")
    parser.add_argument("--store")
    parser.add_argument("--id")
    parser.add_argument("--backend")
    parser.add_argument("--zone", default="z1")
    parser.add_argument("--journal", default="/dev/null")
    parser.add_argument("--slots", type=int, default=128)
    parser.add_argument("--endless-every", type=int, default=0)
    options = parser.parse_args()
    engine = StreamEngine(options)
    server = await asyncio.start_server(engine.serve, *address(options.address), limit=1 << 20)
    registering = asyncio.create_task(engine.register())
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    server.close()
    registering.cancel()


asyncio.run(main())
