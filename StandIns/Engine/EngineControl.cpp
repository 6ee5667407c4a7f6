#include <LibCore/InvalidInput.h>

#include <StandIns/Engine/EngineControl.h>
#include <nlohmann/json.hpp>

namespace lycheeseam::standin {

namespace {

using nlohmann::json;

template<typename Value>
std::optional<Value>
Field(json const& aBody, char const* aName)
{
  auto const found = aBody.find(aName);
  if (found == aBody.end())
    return std::nullopt;
  return found->get<Value>();
}

std::optional<std::chrono::milliseconds>
Milliseconds(json const& aBody, char const* aName)
{
  std::optional<std::int64_t> const count = Field<std::int64_t>(aBody, aName);
  if (!count)
    return std::nullopt;
  return std::chrono::milliseconds{ *count };
}

}

engine_control
ParseEngineControl(std::string_view aBody)
{
  try {
    json const body = json::parse(aBody);
    return engine_control{
      .mCrash = body.value("crash", false),
      .mFreeze = Milliseconds(body, "freeze_ms")
                   .value_or(std::chrono::milliseconds{ 0 }),
      .mCrashOn = Field<std::string>(body, "crash_on"),
      .mCrashAfterTokens = Field<token_count>(body, "crash_after_tokens"),
      .mCloseAfterPosts = Field<std::size_t>(body, "close_after_posts"),
      .mSlowness = Field<double>(body, "slowness"),
      .mEventDelay = Milliseconds(body, "event_delay_ms"),
      .mLoseEveryEvent = Field<std::uint64_t>(body, "lose_every_event"),
      .mLoadLag = Milliseconds(body, "load_lag_ms"),
    };
  } catch (json::exception const& problem) {
    throw invalid_input(problem.what());
  }
}

}
