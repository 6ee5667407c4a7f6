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

/// The tokens of a text, the last one perhaps short.
token_count
TokensOf(std::string_view aText);

/// The hashes of a prompt's whole blocks, each chained to the one before; the
/// first is salted by the workspace and the weights version.
std::vector<block_hash>
ChainBlocks(workspace_id const& aWorkspace,
            weights_version const& aVersion,
            std::string_view aPrompt);

}
