#pragma once

#include <LibCore/Identifiers.h>

#include <StandIns/EngineModel/BlockHash.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace lycheeseam::standin {

/// The bytes of text that a stand-in engine counts as one token.
inline constexpr std::size_t kBytesPerToken = 4;

/// The tokens in one cached block.
inline constexpr std::size_t kTokensPerBlock = 16;

/// The number of tokens of a text; a shorter rest counts as one token.
token_count
TokensOf(std::string_view aText);

/// The hashes of a prompt's full blocks, each chained to the one before. The
/// chain is salted with the workspace and the weights version, so that others
/// share no blocks with it.
std::vector<block_hash>
ChainBlocks(workspace_id const& aWorkspace,
            weights_version const& aVersion,
            std::string_view aPrompt);

}
