#include <LibPlacement/PrefixChain.h>

#include <xxhash.h>

namespace lycheeseam {

namespace {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
Salt(cache_scope const& aScope)
{
  return HashText(aScope.mWeights.Text(),
                  HashText(aScope.mWorkspace.Text(), 0));
}

/// The hash of a block with the shard bits of its root.
block_hash
WithShardBits(std::uint64_t aHash, std::uint64_t aRoot)
{
  std::uint64_t const shardBits = aRoot >> kOwnHashBits << kOwnHashBits;
  return block_hash{ shardBits | (aHash >> (64 - kOwnHashBits)) };
}

std::vector<block_hash>
HashBlocks(std::string_view aBytes,
           std::size_t aBlockBytes,
           std::uint64_t aSalt)
{
  std::vector<block_hash> blocks;
  blocks.reserve(aBytes.size() / aBlockBytes);
  std::uint64_t chained = aSalt;
  std::uint64_t root = 0;
  while (aBytes.size() >= aBlockBytes) {
    chained = HashText(aBytes.substr(0, aBlockBytes), chained);
    if (blocks.empty())
      root = chained;
    blocks.push_back(WithShardBits(chained, root));
    aBytes.remove_prefix(aBlockBytes);
  }
  return blocks;
}

block_hash
RootOf(std::span<block_hash const> aBlocks,
       std::string_view aBytes,
       std::uint64_t aSalt)
{
  if (!aBlocks.empty())
    return aBlocks.front();
  return block_hash{ HashText(aBytes, aSalt) };
}

}

prefix_chain
prefix_chain::OfText(cache_scope const& aScope, std::string_view aText)
{
  std::uint64_t const salt = Salt(aScope);
  prefix_chain chain;
  chain.mBlocks = HashBlocks(aText, kBlockBytes, salt);
  chain.mRoot = RootOf(chain.mBlocks, aText, salt);
  chain.mTokens = EstimateTokens(aText.size());
  return chain;
}

prefix_chain
prefix_chain::OfTokens(cache_scope const& aScope,
                       std::span<std::uint32_t const> aTokens)
{
  std::uint64_t const salt = Salt(aScope);
  std::string_view const bytes{ reinterpret_cast<char const*>(aTokens.data()),
                                aTokens.size_bytes() };
  prefix_chain chain;
  chain.mBlocks = HashBlocks(bytes, kBlockTokens * sizeof(std::uint32_t), salt);
  chain.mRoot = RootOf(chain.mBlocks, bytes, salt);
  chain.mTokens = static_cast<token_count>(aTokens.size());
  return chain;
}

}
