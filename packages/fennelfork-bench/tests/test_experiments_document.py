"""Documents that the experiment `document` measures."""

import pytest

from fennelfork.config import structure_document
from fennelfork_bench.experiments._document import build_document_tree


class TestDocumentTree:
    """Synthetic configuration documents."""

    @pytest.mark.parametrize('servers', [30, 300, 3000])
    def test_is_valid_and_has_the_requested_size(self, servers: int) -> None:
        """The document passes validation and contains every server."""
        document = structure_document(build_document_tree(servers)).unwrap()
        shards = [
            shard
            for front in document.fronts.values()
            for shard in front.shards.values()
        ]
        assert sum(len(shard.servers) for shard in shards) == servers
