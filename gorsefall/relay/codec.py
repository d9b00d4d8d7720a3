"""The seam between the relay and a wire: how messages are spelled."""


class Codec:
    """Decodes what callers and replicas send, encodes what they get."""

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

    def encode_request(self, req, order):
        """Returns the header fields for a replica, a list of byte pairs.

        Args:
            req: The ``model.CallerRequest``.
            order: The ``model.AttemptOptions``.
        """
        raise NotImplementedError

    def decode_response(self, status, fields):
        """Returns the ``model.Response`` of a replica's answer head."""
        raise NotImplementedError

    def encode_response(self, answer):
        """Returns the header fields for the caller, a list of byte pairs."""
        raise NotImplementedError
