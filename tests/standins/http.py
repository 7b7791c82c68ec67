"""A small threaded HTTP server for the fakes."""

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from attrs import frozen


@frozen
class Answer:
    """An HTTP response; ``drop`` closes the connection without a response."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    drop: bool = False
    etag: str = ""

    @classmethod
    def of(cls, value: object, status: int = 200) -> "Answer":
        """Return a response with a value as JSON."""
        return cls(status, json.dumps(value).encode())


Handler = Callable[[str, str, bytes, dict[str, str]], Answer]


def serve(handler: Handler, host: str = "127.0.0.1", port: int = 0) -> "Server":
    """Return a new server that runs in its own thread."""
    return Server(handler, host, port)


class Server:
    """A running HTTP server; ``handler(method, path, body, headers)`` responds."""

    def __init__(self, handler: Handler, host: str, port: int) -> None:
        """Bind to the address and start the server's thread."""
        byte_counter = self
        self.received_bytes = 0
        self.sent_bytes = 0

        class RequestHandler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def answer(self) -> None:
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                headers = {k.lower(): v for k, v in self.headers.items()}
                byte_counter.received_bytes += len(self.raw_requestline) + length
                byte_counter.received_bytes += len(str(self.headers))
                result = handler(self.command, self.path, body, headers)
                if result.drop:
                    self.close_connection = True
                    return
                self.send_response(result.status)
                self.send_header("Content-Type", result.content_type)
                if result.etag:
                    self.send_header("ETag", result.etag)
                self.send_header("Content-Length", str(len(result.body)))
                byte_counter.sent_bytes += sum(map(len, self._headers_buffer))
                byte_counter.sent_bytes += len(result.body)
                self.end_headers()
                self.wfile.write(result.body)

            do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = answer  # noqa: N815
            do_HEAD = do_OPTIONS = answer  # noqa: N815

            def log_message(self, *_: object) -> None:
                pass

        class ThreadedServer(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *_: object) -> None:
                pass

        self.http = ThreadedServer((host, port), RequestHandler)
        bound_address = self.http.server_address
        self.address = f"{bound_address[0]}:{bound_address[1]}"
        self.thread = threading.Thread(target=self.http.serve_forever, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stop the server and close its socket."""
        self.http.shutdown()
        self.http.server_close()
