#include <LibCore/InvalidInput.h>

#include <StandIns/Service/ServiceControl.h>
#include <nlohmann/json.hpp>

namespace lycheeseam::standin {

service_control
ParseServiceControl(std::string_view aBody)
{
  using nlohmann::json;
  try {
    json const body = json::parse(aBody);
    service_control control{ .mCrash = body.value("crash", false),
                             .mResetCounts = body.value("reset", false) };
    if (body.contains("delay_ms"))
      control.mDelay =
        std::chrono::milliseconds{ body["delay_ms"].get<std::int64_t>() };
    if (body.contains("hang"))
      control.mHang = body["hang"].get<bool>();
    if (body.contains("crash_on"))
      control.mCrashOn = body["crash_on"].get<std::string>();
    if (body.contains("close_after_posts"))
      control.mCloseAfterPosts = body["close_after_posts"].get<std::size_t>();
    return control;
  } catch (json::exception const& problem) {
    throw invalid_input(problem.what());
  }
}

}
