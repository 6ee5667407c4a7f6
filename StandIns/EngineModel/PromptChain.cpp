#include <StandIns/EngineModel/PromptChain.h>
#include <xxhash.h>

namespace lycheeseam::standin {

token_count
TokensOf(std::string_view aText)
{
  return static_cast<token_count>((aText.size() + kBytesPerToken - 1) /
                                  kBytesPerToken);
}

std::vector<block_hash>
ChainBlocks(workspace_id const& aWorkspace,
            weights_version const& aVersion,
            std::string_view aPrompt)
{
  constexpr std::size_t kBytesPerBlock = kBytesPerToken * kTokensPerBlock;
  std::string salt = aWorkspace.Text();
  salt += '\0';
  salt += aVersion.Text();
  XXH64_hash_t chained = XXH3_64bits(salt.data(), salt.size());
  std::vector<block_hash> blocks;
  blocks.reserve(aPrompt.size() / kBytesPerBlock);
  while (aPrompt.size() >= kBytesPerBlock) {
    chained = XXH3_64bits_withSeed(aPrompt.data(), kBytesPerBlock, chained);
    blocks.emplace_back(chained);
    aPrompt.remove_prefix(kBytesPerBlock);
  }
  return blocks;
}

}
