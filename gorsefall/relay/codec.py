"""Interface between the relay and a wire format."""


class Codec:
    """Decodes and encodes the messages of callers and replicas."""

    def decode_request(self, method, target, fields):
        """Returns the ``model.CallerRequest`` of a request head.

        Args:
            method: HTTP method, bytes.
            target: Path and query, bytes.
            fields: ``headers.Headers``.

        Raises:
            errors.BadRequestError: A header is missing or malformed.
        """
        raise NotImplementedError

    def encode_request(self, req, options):
        """Returns the header fields for a replica, a list of byte pairs.

        Args:
            req: The ``model.CallerRequest``.
            options: The ``model.AttemptOptions``.
        """
        raise NotImplementedError

    def decode_response(self, status, fields):
        """Returns the ``model.Response`` for a replica's response head."""
        raise NotImplementedError

    def encode_response(self, response):
        """Returns the header fields for the caller, a list of byte pairs."""
        raise NotImplementedError
