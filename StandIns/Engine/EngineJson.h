#pragma once

#include <StandIns/Engine/EngineCounts.h>
#include <StandIns/Engine/EngineLoad.h>
#include <StandIns/EngineModel/BlockHash.h>
#include <StandIns/EngineModel/CacheEvent.h>
#include <StandIns/EngineModel/EngineOrder.h>
#include <nlohmann/json.hpp>

#include <span>
#include <string_view>
#include <vector>

/// \file The JSON forms of an engine's reports and orders.

namespace lycheeseam::standin {

/// Blocks as 16 hexadecimal digits each.
nlohmann::json
BlocksToJson(std::span<block_hash const> aBlocks);

/// Parses the form that BlocksToJson writes; throws invalid_input.
std::vector<block_hash>
BlocksFromJson(nlohmann::json const& aBlocks);

nlohmann::json
EventsToJson(std::span<cache_event const> aEvents);

nlohmann::json
CountsToJson(engine_counts const& aCounts);

nlohmann::json
LoadToJson(engine_load const& aLoad);

/// Parses an order; throws invalid_input.
engine_order
ParseOrder(std::string_view aBody);

}
