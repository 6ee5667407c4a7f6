#include <LibPeer/DecodeBlockMessage.h>

namespace lycheeseam {

namespace {

std::vector<block_hash>
DecodeBlocks(flatbuffers::Vector<std::uint64_t> const& aValues)
{
  std::vector<block_hash> blocks;
  blocks.reserve(aValues.size());
  for (std::uint64_t const value : aValues)
    blocks.emplace_back(value);
  return blocks;
}

}

block_message
DecodeBlockMessage(wire::BlockLookup const& aTable)
{
  return block_lookup{ .mNumber = lookup_number{ aTable.number() },
                       .mPool = pool_name{ aTable.pool()->str() },
                       .mBlocks = DecodeBlocks(*aTable.blocks()) };
}

block_message
DecodeBlockMessage(wire::BlockAnswer const& aTable)
{
  block_answer answer{ .mNumber = lookup_number{ aTable.number() },
                       .mStoredTokens = aTable.stored_tokens() };
  for (wire::KnownPrefix const* const known : *aTable.known())
    answer.mKnown.push_back(
      { .mServer = backend_server_id{ known->server()->str() },
        .mIncarnation = incarnation{ known->incarnation() },
        .mTokens = known->tokens() });
  return answer;
}

block_message
DecodeBlockMessage(wire::BlockUpdate const& aTable)
{
  block_update update{ .mServer = backend_server_id{ aTable.server()->str() },
                       .mIncarnation = incarnation{ aTable.incarnation() },
                       .mBlocks = DecodeBlocks(*aTable.blocks()) };
  if (aTable.cached_tokens() >= 0)
    update.mCachedTokens = aTable.cached_tokens();
  return update;
}

}
