#include <LibCore/InvalidInput.h>

#include <StandIns/Engine/EngineJson.h>

#include <charconv>
#include <cstdio>

namespace lycheeseam::standin {

namespace {

using nlohmann::json;

constexpr int kHexBase = 16;

std::string
Hex(block_hash aBlock)
{
  char text[kHexBase + 1];
  std::snprintf(text,
                sizeof(text),
                "%016llx",
                static_cast<unsigned long long>(aBlock.Value()));
  return text;
}

std::string_view
KindName(cache_event_kind aKind)
{
  switch (aKind) {
    case cache_event_kind::Stored:
      return "stored";
    case cache_event_kind::Evicted:
      return "evicted";
    case cache_event_kind::Cleared:
      return "cleared";
  }
  return "cleared";
}

engine_order_kind
OrderKind(std::string_view aName)
{
  if (aName == "load_weights")
    return engine_order_kind::LoadWeights;
  if (aName == "unload_weights")
    return engine_order_kind::UnloadWeights;
  if (aName == "load_adapter")
    return engine_order_kind::LoadAdapter;
  if (aName == "unload_adapter")
    return engine_order_kind::UnloadAdapter;
  if (aName == "set_role")
    return engine_order_kind::SetRole;
  throw invalid_input("order names no known kind");
}

}

json
BlocksToJson(std::span<block_hash const> aBlocks)
{
  json blocks = json::array();
  for (block_hash const block : aBlocks)
    blocks.push_back(Hex(block));
  return blocks;
}

std::vector<block_hash>
BlocksFromJson(json const& aBlocks)
{
  std::vector<block_hash> blocks;
  for (json const& item : aBlocks) {
    std::string const text = item.get<std::string>();
    std::uint64_t value = 0;
    char const* const end = text.data() + text.size();
    std::from_chars_result const parsed =
      std::from_chars(text.data(), end, value, kHexBase);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
      throw invalid_input(
        "blocks holds an item that is not a hexadecimal number");
    blocks.emplace_back(value);
  }
  return blocks;
}

json
EventsToJson(std::span<cache_event const> aEvents)
{
  json events = json::array();
  for (cache_event const& event : aEvents) {
    events.push_back({ { "sequence", event.mSequence.Value() },
                       { "kind", KindName(event.mKind) },
                       { "blocks", BlocksToJson(event.mBlocks) } });
  }
  return events;
}

json
CountsToJson(engine_counts const& aCounts)
{
  return { { "runs", aCounts.mRuns },
           { "finished", aCounts.mFinished },
           { "cancelled", aCounts.mCancelled },
           { "authorization_headers", aCounts.mAuthorizationHeaders },
           { "prompt_tokens", aCounts.mPromptTokens },
           { "cached_tokens", aCounts.mCachedTokens },
           { "tokens_sent", aCounts.mTokensSent } };
}

json
LoadToJson(engine_load const& aLoad)
{
  return { { "running", aLoad.mRunning },
           { "waiting", aLoad.mWaiting },
           { "cached_blocks", aLoad.mCachedBlocks } };
}

engine_order
ParseOrder(std::string_view aBody)
{
  try {
    json const body = json::parse(aBody);
    return engine_order{
      .mKind = OrderKind(body.at("order").get<std::string>()),
      .mModel = model_name{ body.value("model", "") },
      .mVersion = weights_version{ body.value("version", "") },
      .mAdapter = body.value("adapter", ""),
      .mRole = body.value("role", ""),
      .mFencing = fencing_number{ body.at("fencing").get<std::uint64_t>() },
    };
  } catch (json::exception const& problem) {
    throw invalid_input(problem.what());
  }
}

}
