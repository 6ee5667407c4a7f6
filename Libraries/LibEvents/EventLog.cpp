#include <LibCore/BootClock.h>
#include <LibCore/TimeOfDay.h>
#include <LibEvents/EventLog.h>
#include <LibEvents/EventRateLimit.h>
#include <LibEvents/PipeAppender.h>

#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace lycheeseam {

namespace {

// Allows one line per request at the usual request rate of an instance, with
// headroom.
constexpr double kLinesPerSecond = 100;
constexpr double kBurstLines = 300;
// Below PIPE_BUF (4096 bytes), up to which a write to a pipe is atomic.
constexpr std::size_t kMaxLineBytes = 4'000;
constexpr std::string_view kLineDroppedEvent = "line_dropped";

using event_counts = std::map<std::string, std::uint64_t, std::less<>>;

struct event_log_state
{
  std::mutex mMutex;
  std::string mInstance;
  event_rate_limit mLimit{ kLinesPerSecond, kBurstLines };
  bool mIsOpen = false;
  event_counts mCounts;

  // Owned by the logging library, which outlives this state.
  pipe_appender* mAppender = nullptr;

  void Count(std::string_view aEvent, std::uint64_t aTimes = 1)
  {
    auto const found = mCounts.find(aEvent);
    if (found != mCounts.end())
      found->second += aTimes;
    else
      mCounts.emplace(aEvent, aTimes);
  }

  // Returns the number of lines dropped since the last written line.
  std::uint64_t TakeDropped()
  {
    std::uint64_t const droppedByAppender = mAppender->TakeDropped();
    if (droppedByAppender > 0)
      Count(kLineDroppedEvent, droppedByAppender);
    return droppedByAppender + mLimit.TakeDropped();
  }
};

event_log_state&
State()
{
  static event_log_state state;
  return state;
}

log4cplus::Logger&
EventLogger()
{
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("events");
  return logger;
}

}

void
OpenEventLog(std::string_view aInstance)
{
  event_log_state& state = State();
  std::lock_guard const lock{ state.mMutex };
  if (state.mIsOpen)
    return;
  state.mInstance = aInstance;
  state.mIsOpen = true;
  EventLogger().setAdditivity(false);
  EventLogger().setLogLevel(log4cplus::INFO_LOG_LEVEL);
  state.mAppender = new pipe_appender{ STDOUT_FILENO };
  EventLogger().addAppender(log4cplus::SharedAppenderPtr{ state.mAppender });
}

void
LogEvent(std::string_view aEvent, std::initializer_list<event_field> aFields)
{
  event_log_state& state = State();
  std::lock_guard const lock{ state.mMutex };
  state.Count(aEvent);
  if (!state.mIsOpen)
    return;
  if (!state.mLimit.TryTake(boot_clock::now()))
    return state.Count(kLineDroppedEvent);
  nlohmann::ordered_json line{ { "at_ms", TimeOfDay().count() },
                               { "instance", state.mInstance },
                               { "event", aEvent } };
  for (event_field const& field : aFields)
    std::visit(
      [&line, &field](auto const& aValue) {
        line[std::string{ field.mName }] = aValue;
      },
      field.mValue);
  if (std::uint64_t const dropped = state.TakeDropped())
    line["dropped_lines"] = dropped;
  std::string const text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxLineBytes) {
    state.mLimit.OnDropped();
    return state.Count(kLineDroppedEvent);
  }
  EventLogger().log(log4cplus::INFO_LOG_LEVEL, text);
}

std::vector<event_count>
TakeEventCounts()
{
  event_log_state& state = State();
  std::lock_guard const lock{ state.mMutex };
  std::vector<event_count> counts;
  for (event_counts::value_type const& entry : state.mCounts)
    counts.push_back({ .mEvent = entry.first, .mCount = entry.second });
  state.mCounts.clear();
  return counts;
}

}
